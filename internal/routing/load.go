package routing

import "time"

// Load is a load report of an upstream. It was measured some time before it arrives.
type Load struct {
	Running int
	Waiting int
	// MeasuredAt is the time of measurement by the node's clock.
	MeasuredAt time.Time
}

// CacheOp is the kind of change to a cached block.
type CacheOp uint8

// Changes to cached blocks.
const (
	CacheAdd CacheOp = iota
	CacheRemove
)

// CacheEvent is a change in an upstream's prefix cache. Events arrive late, and some are lost.
type CacheEvent struct {
	Op    CacheOp
	Block Block
}
