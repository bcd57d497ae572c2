package routing

import "time"

// Load is an upstream's own report, measured some time before it arrives.
type Load struct {
	Running int
	Waiting int
	// MeasuredAt is when the upstream measured it, by the node's clock.
	MeasuredAt time.Time
}

// CacheOp says what happened to a cached block.
type CacheOp uint8

// What happens to cached blocks.
const (
	CacheAdd CacheOp = iota
	CacheRemove
)

// CacheEvent is one event of an upstream's prefix cache. Events come late and with gaps.
type CacheEvent struct {
	Op    CacheOp
	Block Block
}
