package recovery

import (
	"time"
)

// Source is the upstream that the stream runs at.
type Source struct {
	// Reachable is true when it answers.
	Reachable bool
	// Leaving is true when it is going away after Notice.
	Leaving bool
	Notice  time.Duration
	// Assumed is true when nobody has said when it goes. Notice is then a guess
	// that an export is tried on, but not that a stream may stay on.
	Assumed bool
	// PerToken is the time between tokens there.
	PerToken time.Duration
	// Exports is true when it can export KV cache.
	Exports bool
	// Ahead is how many bytes are to be exported from it before this stream's.
	Ahead int64
	// BytesPerSecond is the rate of exports from it.
	BytesPerSecond float64
}
