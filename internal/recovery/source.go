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
	// NoticeAssumed is true when the end of the notice period is not known. Notice is then an
	// assumption: an export is attempted within it, but a stream does not stay at the upstream.
	NoticeAssumed bool
	// TokenInterval is the time between two generated tokens.
	TokenInterval time.Duration
	// CanExport is true when the upstream can export KV cache.
	CanExport bool
	// QueuedExportBytes is the number of bytes that are exported before those of this stream.
	QueuedExportBytes int64
	// ExportBytesPerSecond is the export rate of the upstream.
	ExportBytesPerSecond float64
}
