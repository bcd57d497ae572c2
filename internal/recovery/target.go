package recovery

import (
	"time"
)

// Target is the upstream that the stream would move to.
type Target struct {
	// Imports is true when it can import KV cache.
	Imports bool
	// PrefillPerSecond is its prefill rate in tokens.
	PrefillPerSecond float64
	// CachedTokens is how many leading tokens it has cached.
	CachedTokens int
	// RoundTrip is the time of a call to it.
	RoundTrip time.Duration
}
