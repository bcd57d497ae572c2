package recovery

import (
	"time"
)

// Target is the upstream that the stream would move to.
type Target struct {
	// CanImport is true when the upstream can import KV cache.
	CanImport bool
	// PrefillTokensPerSecond is the prefill rate in tokens per second, or 0 if it is not known.
	PrefillTokensPerSecond float64
	// CachedTokens is the number of leading tokens that the upstream has cached.
	CachedTokens int
	// RoundTrip is the duration of a call to the upstream.
	RoundTrip time.Duration
}
