package admission

import (
	"math"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/routing"
)

// concurrencyMemory is the time over which the mean number in flight is taken.
const concurrencyMemory = 2 * time.Second

// densityGain is the weight of a new sample in the mean worth per second, and
// densitySteps how many steps of priority a doubled worth per second counts.
const (
	densityGain  = 0.02
	densitySteps = 4
)

// lane holds the requests of one pool.
type lane struct {
	pool  routing.Pool
	flows []*flow
	// byName finds the flows.
	byName map[ident.Workspace]*flow
	// virtual is the virtual time of fair queueing.
	virtual float64
	queued  int
	cost    float64
	// inFlight counts requests that have a slot.
	inFlight int
	// asking are the requests that look for a slot, the one that began first in front.
	asking []*Ticket
	// mean is the mean number in flight, as of measured.
	mean     float64
	measured time.Time
	// density is the mean worth per second of the requests that ask.
	density float64
	// backlogged is since when something has been waiting all the time.
	backlogged time.Time
	// streams and claims are scratch space of outlook.
	streams []stream
	claims  []claim
	// paused is until when nothing is handed out.
	paused time.Time
}

func newLane(pool routing.Pool) *lane {
	return &lane{pool: pool, byName: make(map[ident.Workspace]*flow)}
}

// flow returns the flow of workspace w.
func (l *lane) flow(w ident.Workspace, share float64) *flow {
	f, ok := l.byName[w]
	if !ok {
		f = &flow{workspace: w, lane: l}
		l.byName[w] = f
		l.flows = append(l.flows, f)
	}
	f.share = share
	return f
}

// weigh takes r into the mean worth per second.
func (l *lane) weigh(r *Request) {
	if l.density == 0 {
		l.density = r.density()
		return
	}
	l.density += densityGain * (r.density() - l.density)
}

// key orders the requests of a workspace; the least goes first. A step of
// priority, or a doubled worth per second, counts as much as agingStep of waiting.
func (l *lane) key(now time.Time, r *Request) int64 {
	return now.UnixNano() - int64(l.lead(r)*float64(time.Second))
}

// lead is how far ahead of its arrival r is queued, in seconds.
func (l *lane) lead(r *Request) float64 {
	steps := float64(r.Priority)
	if d := r.density(); d > 0 && l.density > 0 {
		steps += densitySteps * min(max(math.Log2(d/l.density), -1), 1)
	}
	return steps * agingStep.Seconds()
}

// observe brings the mean number in flight up to now.
func (l *lane) observe(now time.Time) {
	passed := now.Sub(l.measured)
	if passed <= 0 {
		return
	}
	keep := math.Exp(-passed.Seconds() / concurrencyMemory.Seconds())
	l.mean = l.mean*keep + float64(l.inFlight)*(1-keep)
	l.measured = now
}

// throughput returns how many seconds of slot time this node gets in a second.
// By Little's law that is the mean number in flight. Those that look for a slot
// count while there is no sign that they look in vain.
func (l *lane) throughput(now time.Time) float64 {
	inFlight := l.inFlight
	if !l.short(now) {
		inFlight += len(l.asking)
	}
	return max(l.mean, float64(inFlight), 1)
}

// comeBack returns when a caller that was refused may try again: when what is
// waiting now has been served.
func (l *lane) comeBack(now time.Time) time.Duration {
	return clampRetry(time.Duration(l.cost / l.throughput(now) * float64(time.Second)))
}

// next returns the flow that is to be served next, or nil.
func (l *lane) next() *flow {
	var best *flow
	least := math.Inf(1)
	for _, f := range l.flows {
		if len(f.waiting) == 0 {
			continue
		}
		start := max(l.virtual, f.finish)
		if start < least {
			best, least = f, start
		}
	}
	return best
}

// charge moves the virtual times on by a request of f.
func (l *lane) charge(f *flow, cost time.Duration) {
	start := max(l.virtual, f.finish)
	f.finish = start + max(cost, minCost).Seconds()/f.share
	l.virtual = start
}

// longest returns the flow with the most waiting for its share, or nil.
func (l *lane) longest() *flow {
	var longest *flow
	for _, f := range l.flows {
		if len(f.waiting) == 0 {
			continue
		}
		if longest == nil || f.cost/f.share > longest.cost/longest.share {
			longest = f
		}
	}
	return longest
}
