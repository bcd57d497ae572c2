// Package engine is a stand-in for a model engine. It batches, streams, resumes and
// cancels completions, exports and imports KV caches, and fails on command.
package engine

import (
	"time"

	"mangoledge.example/mangoledge/internal/standin/ending"
)

// Options configure an Engine.
type Options struct {
	// ID names the engine in its history.
	ID string
	// Slots is how many requests run at once.
	Slots int
	// Queue is how many more requests may wait for a slot.
	Queue int
	// PrefillPerToken is the time to compute one token of a prompt or prefix.
	PrefillPerToken time.Duration
	// TokenInterval is the time between two tokens of a stream.
	TokenInterval time.Duration
	// PoisonMarker is a text that crashes the engine when a prompt contains it; empty for none.
	PoisonMarker string
	// IgnoreFencing makes the engine accept orders with old fencing numbers.
	IgnoreFencing bool
	// CacheBlocks is how many blocks the prefix cache holds; 0 for no cache.
	CacheBlocks int
	// KVBytesPerToken is the size of the KV cache of one token, in bytes.
	KVBytesPerToken int64
	// ExportBytesPerSecond is the rate of KV cache exports; 0 for exports that take no time.
	ExportBytesPerSecond float64
	// Seed seeds the random parts of the tokens.
	Seed uint64
	// Endings draws how streams end; nil for ordinary ones.
	Endings *ending.Drawer
	// HistoryPath is the file that the history is written to; empty for no history.
	HistoryPath string
}

// Faults is the body of POST /faults; zero fields change nothing.
type Faults struct {
	// ReclaimNoticeMs makes the engine refuse new requests and ends its process after this many milliseconds.
	ReclaimNoticeMs int64 `json:"reclaimNoticeMs,omitempty"`
	// Silent makes the engine send nothing more on streams that are open now; new ones work.
	Silent bool `json:"silent,omitempty"`
	// SlowMs adds this many milliseconds before each token; -1 clears the fault.
	SlowMs int64 `json:"slowMs,omitempty"`
	// Leave makes the engine refuse new requests.
	Leave bool `json:"leave,omitempty"`
	// FailExports makes each export stop its stream and then abort its connection.
	FailExports bool `json:"failExports,omitempty"`
	// FailImports makes the engine refuse each import.
	FailImports bool `json:"failImports,omitempty"`
}

// Stats is the response to GET /stats.
type Stats struct {
	Running    int    `json:"running"`
	Started    int    `json:"started"`
	Recomputed int    `json:"recomputed"`
	Fencing    uint64 `json:"fencing"`
	// Role is the role that the engine was last ordered to take.
	Role string `json:"role"`
}
