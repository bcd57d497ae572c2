package recovery

// Stream is a stream in progress.
type Stream struct {
	PromptTokens int
	// GeneratedTokens is the number of tokens received so far.
	GeneratedTokens int
	// RemainingTokens is the maximum number of tokens still to be generated.
	RemainingTokens int
	// KVBytes is the size of the stream's KV cache.
	KVBytes int64
}
