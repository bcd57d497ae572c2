// Package engine is a stand-in for a model engine: it batches, streams, resumes,
// cancels, exports and imports caches, and fails on command.
package engine

import "time"

// Options say how the engine behaves.
type Options struct {
	// ID names the engine in its history.
	ID string
	// Slots is how many requests it runs at once.
	Slots int
	// Queue is how many requests more may wait for a slot.
	Queue int
	// PrefillPerToken is the time to compute one token of a prompt or prefix.
	PrefillPerToken time.Duration
	// TokenInterval is the time between two tokens of a stream.
	TokenInterval time.Duration
	// PoisonMarker crashes the engine when a prompt holds it; empty for never.
	PoisonMarker string
	// IgnoreFencing is true for an engine that takes orders with old fencing numbers.
	IgnoreFencing bool
	// CacheBlocks is how many blocks its prefix cache holds; 0 for no cache.
	CacheBlocks int
	// KVBytesPerToken is the size of the KV cache of one token, in bytes.
	KVBytesPerToken int64
	// ExportBytesPerSecond is the rate at which caches leave, one after the other; 0 for no time at all.
	ExportBytesPerSecond float64
	// Seed seeds the random parts of the tokens.
	Seed uint64
	// HistoryPath is the file that its history goes to; empty for none.
	HistoryPath string
}

// Faults is the body of POST /faults; zero fields change nothing.
type Faults struct {
	// ReclaimNoticeMs makes the engine leave and end its process after this many milliseconds.
	ReclaimNoticeMs int64 `json:"reclaimNoticeMs,omitempty"`
	// Silent makes the engine send nothing any more on connections open now; new ones work.
	Silent bool `json:"silent,omitempty"`
	// SlowMs adds this many milliseconds before each token; -1 takes it back.
	SlowMs int64 `json:"slowMs,omitempty"`
	// Leave makes the engine refuse new work.
	Leave bool `json:"leave,omitempty"`
	// FailExports makes each export stop its stream and then break its connection.
	FailExports bool `json:"failExports,omitempty"`
	// FailImports makes the engine refuse each import.
	FailImports bool `json:"failImports,omitempty"`
}

// Stats is the answer of GET /stats.
type Stats struct {
	Running    int    `json:"running"`
	Started    int    `json:"started"`
	Recomputed int    `json:"recomputed"`
	Fencing    uint64 `json:"fencing"`
	// Role is the role that it was ordered to take last.
	Role string `json:"role"`
}
