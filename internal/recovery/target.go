package recovery

import (
	"time"
)

// Target is the upstream that the stream would move to.
type Target struct {
	// Imports is true when the upstream can import KV cache.
	Imports bool
	// PrefillPerSecond is the prefill rate in tokens per second, or 0 if it is not known.
	PrefillPerSecond float64
	// CachedTokens is the number of leading tokens that the upstream has cached.
	CachedTokens int
	// RoundTrip is the duration of a call to the upstream.
	RoundTrip time.Duration
}
