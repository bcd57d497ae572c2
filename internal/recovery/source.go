package recovery

import (
	"time"
)

// Source is the upstream that runs the stream now.
type Source struct {
	// Reachable is true when the upstream answers.
	Reachable bool
	// Leaving is true when the upstream will be gone after Notice.
	Leaving bool
	// Notice is the time until the upstream is gone.
	Notice time.Duration
	// Assumed is true when the end of the notice period is not known. Notice is then a
	// guess, on which an export is attempted but a stream does not stay.
	Assumed bool
	// PerToken is the time between two generated tokens.
	PerToken time.Duration
	// Exports is true when the upstream can export KV cache.
	Exports bool
	// Ahead is the number of bytes that are exported before those of this stream.
	Ahead int64
	// BytesPerSecond is the export rate of the upstream.
	BytesPerSecond float64
}
