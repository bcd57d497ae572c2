package routing

import (
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

// RecordStart counts a request sent to upstream id.
func (t *Table) RecordStart(now time.Time, id ident.Upstream, f *Features) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.replicas[id]; ok {
		t.start(now, r, f)
	}
}

func (t *Table) start(now time.Time, r *Replica, f *Features) {
	r.inFlight++
	r.startedSince++
	r.breaker.recordStart()
	t.started++
	if f.Suspect {
		r.suspectsInFlight++
	}
	if r.indexBit < 0 {
		return
	}
	for _, block := range f.Blocks {
		t.index.add(now, block, r.indexBit)
	}
}

// RecordEnd counts the end of a request that was started at upstream id.
func (t *Table) RecordEnd(now time.Time, id ident.Upstream, suspect bool, out Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.replicas[id]
	if !ok || r.inFlight == 0 {
		return
	}
	r.inFlight--
	r.endedSince++
	t.ended++
	if suspect {
		r.suspectsInFlight = max(0, r.suspectsInFlight-1)
	}
	switch out.Kind {
	case OutcomeDone:
		r.breaker.recordSuccess()
		r.addTokenLatency(out.PerToken, &t.options)
	case OutcomeFailed:
		r.breaker.recordFailure(now)
	case OutcomeCrashed:
		r.down = true
		r.breaker.recordFailure(now)
	case OutcomeLeaving:
		r.leaving = true
		r.breaker.recordNeutral()
	case OutcomeRefused, OutcomeMoved, OutcomeCancelled, OutcomeUnsent:
		r.addTokenLatency(out.PerToken, &t.options)
		r.breaker.recordNeutral()
	}
}

// PoolUsage returns the total capacity and load of the usable replicas of pool.
func (t *Table) PoolUsage(now time.Time, pool Pool) PoolUsage {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out PoolUsage
	p, ok := t.pools[pool]
	if !ok {
		return out
	}
	for _, r := range p.replicas {
		if !r.usable(now) {
			continue
		}
		out.Replicas++
		out.Slots += int(r.capacity(now))
		out.InFlight += t.load(now, r)
	}
	return out
}

// Pools appends the known pools to dst and returns the extended slice.
func (t *Table) Pools(dst []Pool) []Pool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for pool := range t.pools {
		dst = append(dst, pool)
	}
	return dst
}

// Counters returns how many requests this table has counted as started and ended.
// Both only increase.
func (t *Table) Counters() (started, ended uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.started, t.ended
}

// load returns the counted or estimated load of r.
func (t *Table) load(now time.Time, r *Replica) int {
	if t.options.Exact && !r.inSlowStart {
		return r.inFlight
	}
	return t.estimatedLoad(now, r)
}

// estimatedLoad returns the load of a replica whose exact count is unknown or
// that is in its slow start.
func (t *Table) estimatedLoad(now time.Time, r *Replica) int {
	if !t.options.Exact {
		return r.estimate()
	}
	if now.Sub(r.joined) < takeoverTime {
		return max(r.inFlight, r.Reported())
	}
	return r.inFlight
}
