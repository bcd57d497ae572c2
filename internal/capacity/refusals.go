package capacity

import (
	"time"

	"mangoledge.example/mangoledge/internal/platform/cloud"
)

const (
	// firstRefusalWait is how long a pool is left alone after a refused start.
	firstRefusalWait = 5 * time.Second
	// maxRefusalWait is the longest time that a pool is left alone.
	maxRefusalWait = 2 * time.Minute
)

// refusal remembers that a pool refused.
type refusal struct {
	until time.Time
	wait  time.Duration
}

// refusals remember which pools refused starts lately. They are a holder's own:
// a new holder learns them by asking once.
type refusals struct {
	clock func() time.Time
	pools map[cloud.Pool]refusal
}

func newRefusals(clock func() time.Time) *refusals {
	return &refusals{clock: clock, pools: make(map[cloud.Pool]refusal)}
}

// add notes that a pool refused; the wait doubles each time.
func (r *refusals) add(pool cloud.Pool) {
	wait := min(max(firstRefusalWait, 2*r.pools[pool].wait), maxRefusalWait)
	r.pools[pool] = refusal{until: r.clock().Add(wait), wait: wait}
}

// clear notes that a pool gave a host.
func (r *refusals) clear(pool cloud.Pool) { delete(r.pools, pool) }

// resting lists the pools that are left alone now.
func (r *refusals) resting() []cloud.Pool {
	now := r.clock()
	var out []cloud.Pool
	for pool, refused := range r.pools {
		if now.Before(refused.until) {
			out = append(out, pool)
		}
	}
	return out
}
