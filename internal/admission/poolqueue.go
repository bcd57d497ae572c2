package admission

import (
	"math"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/routing"
)

// inFlightWindow is the time constant of the moving average of requests in flight.
const inFlightWindow = 2 * time.Second

const (
	// densityGain is the weight of a new sample in the moving average of worth per second.
	densityGain = 0.02
	// densityBoostSteps is how many priority levels a doubled worth per second counts for.
	densityBoostSteps = 4
)

// poolQueue holds the requests of one pool.
type poolQueue struct {
	pool             routing.Pool
	flows            []*flow
	flowsByWorkspace map[ident.Workspace]*flow
	// virtualTime is the virtual time of weighted fair queueing.
	virtualTime float64
	queued      int
	waitingCost float64
	// inFlight is the number of requests that have a slot.
	inFlight int
	// searching are the dispatched requests that search for a slot, the oldest search first.
	searching []*Ticket
	// meanInFlight is the moving average of inFlight at the time meanUpdated.
	meanInFlight float64
	meanUpdated  time.Time
	// meanDensity is the moving average of the worth per second of arriving requests.
	meanDensity float64
	// backlogSince is the time from which the queue has never been empty.
	backlogSince time.Time
	// overtakers and competitors are buffers reused by forecast and serviceRate.
	overtakers  []overtaker
	competitors []competitor
	// pausedUntil is the time before which nothing is dispatched.
	pausedUntil time.Time
}

func newPoolQueue(pool routing.Pool) *poolQueue {
	return &poolQueue{pool: pool, flowsByWorkspace: make(map[ident.Workspace]*flow)}
}

// flow returns the flow of workspace w and updates its share.
func (q *poolQueue) flow(w ident.Workspace, share float64) *flow {
	f, ok := q.flowsByWorkspace[w]
	if !ok {
		f = &flow{workspace: w, queue: q}
		q.flowsByWorkspace[w] = f
		q.flows = append(q.flows, f)
	}
	f.share = share
	return f
}

// addDensity adds r to the moving average of worth per second.
func (q *poolQueue) addDensity(r *Request) {
	if q.meanDensity == 0 {
		q.meanDensity = r.density()
		return
	}
	q.meanDensity += densityGain * (r.density() - q.meanDensity)
}

// key returns the sort key of a request within its workspace; the smallest is dispatched
// first. It is the time of arrival minus the priority boost.
func (q *poolQueue) key(now time.Time, r *Request) int64 {
	return now.UnixNano() - int64(q.boost(r)*float64(time.Second))
}

// boost returns the priority boost of r: by how many seconds it is queued ahead of its
// arrival. Each priority level counts for one agingStep, and a doubled worth per second
// for densityBoostSteps of them.
func (q *poolQueue) boost(r *Request) float64 {
	steps := float64(r.Priority)
	if d := r.density(); d > 0 && q.meanDensity > 0 {
		steps += densityBoostSteps * min(max(math.Log2(d/q.meanDensity), -1), 1)
	}
	return steps * agingStep.Seconds()
}

// updateMeanInFlight advances the moving average of requests in flight to time now.
func (q *poolQueue) updateMeanInFlight(now time.Time) {
	passed := now.Sub(q.meanUpdated)
	if passed <= 0 {
		return
	}
	keep := math.Exp(-passed.Seconds() / inFlightWindow.Seconds())
	q.meanInFlight = q.meanInFlight*keep + float64(q.inFlight)*(1-keep)
	q.meanUpdated = now
}

// throughput returns how many seconds of slot time per second this node gets. By
// Little's law this equals the mean number of requests in flight. Requests that search
// for a slot are included unless slots are short.
func (q *poolQueue) throughput(now time.Time) float64 {
	inFlight := q.inFlight
	if !q.slotsShort(now) {
		inFlight += len(q.searching)
	}
	return max(q.meanInFlight, float64(inFlight), 1)
}

// retryAfter returns after what time a refused caller should try again: the time needed
// to serve everything that is waiting now.
func (q *poolQueue) retryAfter(now time.Time) time.Duration {
	return clampRetry(time.Duration(q.waitingCost / q.throughput(now) * float64(time.Second)))
}

// nextFlow returns the flow to dispatch from next, or nil if nothing is waiting.
func (q *poolQueue) nextFlow() *flow {
	var best *flow
	least := math.Inf(1)
	for _, f := range q.flows {
		if len(f.waiting) == 0 {
			continue
		}
		start := max(q.virtualTime, f.virtualFinish)
		if start < least {
			best, least = f, start
		}
	}
	return best
}

// charge advances the virtual times by the cost of a dispatched request of f.
func (q *poolQueue) charge(f *flow, cost time.Duration) {
	start := max(q.virtualTime, f.virtualFinish)
	f.virtualFinish = start + max(cost, minCost).Seconds()/f.share
	q.virtualTime = start
}

// mostBacklogged returns the flow with the most waiting cost relative to its share, or nil.
func (q *poolQueue) mostBacklogged() *flow {
	var longest *flow
	for _, f := range q.flows {
		if len(f.waiting) == 0 {
			continue
		}
		if longest == nil || f.waitingCost/f.share > longest.waitingCost/longest.share {
			longest = f
		}
	}
	return longest
}
