package capacity

import (
	"time"

	"mangoledge.example/mangoledge/internal/platform/cloud"
)

const (
	// initialBackoff is how long a pool is not tried after its first refused start.
	initialBackoff = 5 * time.Second
	// maxBackoff is the longest time for which a pool is not tried.
	maxBackoff = 2 * time.Minute
)

// refusalBackoff is how long a pool is not tried after it refused a start.
type refusalBackoff struct {
	until   time.Time
	backoff time.Duration
}

// startBackoffs holds the pools that refused starts recently. Each holder has its own: a new holder
// learns of a refusal by trying the pool once.
type startBackoffs struct {
	clock func() time.Time
	pools map[cloud.Pool]refusalBackoff
}

func newStartBackoffs(clock func() time.Time) *startBackoffs {
	return &startBackoffs{clock: clock, pools: make(map[cloud.Pool]refusalBackoff)}
}

// recordRefusal records that a pool refused a start; the backoff doubles each time.
func (b *startBackoffs) recordRefusal(pool cloud.Pool) {
	wait := min(max(initialBackoff, 2*b.pools[pool].backoff), maxBackoff)
	b.pools[pool] = refusalBackoff{until: b.clock().Add(wait), backoff: wait}
}

// recordStart records that a pool started a host, which ends its backoff.
func (b *startBackoffs) recordStart(pool cloud.Pool) { delete(b.pools, pool) }

// backedOffPools returns the pools that are not tried now.
func (b *startBackoffs) backedOffPools() []cloud.Pool {
	now := b.clock()
	var out []cloud.Pool
	for pool, refused := range b.pools {
		if now.Before(refused.until) {
			out = append(out, pool)
		}
	}
	return out
}
