package recovery

// Stream is a stream in progress.
type Stream struct {
	PromptTokens int
	// Generated is how many tokens are known.
	Generated int
	// Remaining is how many tokens are left to generate at most.
	Remaining int
	// KVBytes is the size of its KV cache.
	KVBytes int64
}
