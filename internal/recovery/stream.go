package recovery

// Stream is a stream in progress.
type Stream struct {
	PromptTokens int
	// Generated is the number of tokens received so far.
	Generated int
	// Remaining is the maximum number of tokens still to be generated.
	Remaining int
	// KVBytes is the size of the stream's KV cache.
	KVBytes int64
}
