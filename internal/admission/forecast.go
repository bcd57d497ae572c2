package admission

import (
	"cmp"
	"slices"
	"time"
)

// maxForecast is the longest wait that is predicted; longer ones are cut to it.
const maxForecast = time.Minute

// overtaker is a stream of later requests that are dispatched before a given request:
// it adds rate seconds of cost per second until the request has waited for until seconds.
type overtaker struct {
	rate, until float64
}

// forecast is the prediction for a request that is to be admitted.
type forecast struct {
	// serviceRate is how many seconds of cost per second its workspace is served.
	serviceRate float64
	// slotWait is the time from its dispatch to its slot, in seconds.
	slotWait float64
	// overtakers are ordered by until, the earliest first.
	overtakers []overtaker
}

// wait returns how long the request will wait, in seconds, with ahead seconds of cost
// queued before it. The result is at most maxForecast.
func (f *forecast) wait(ahead float64) float64 {
	rate := 0.0
	for _, s := range f.overtakers {
		rate += s.rate
	}
	passed := 0.0
	for _, s := range f.overtakers {
		served := (f.serviceRate - rate) * (s.until - passed)
		if served >= ahead {
			break
		}
		ahead -= served
		passed = s.until
		rate -= s.rate
	}
	if f.serviceRate <= rate {
		return maxForecast.Seconds()
	}
	return min(passed+ahead/(f.serviceRate-rate)+f.slotWait, maxForecast.Seconds())
}

// forecast returns the prediction for a request of f with the given priority boost in
// seconds. Later requests of the same workspace with a larger boost overtake it.
func (q *poolQueue) forecast(now time.Time, f *flow, boost float64) forecast {
	overtakers := q.overtakers[:0]
	backlog := q.expectedBacklog(now)
	for _, a := range f.arrivals {
		if a.boost > boost && backlog > 0 {
			overtakers = append(overtakers, overtaker{rate: a.rateAt(now), until: min(a.boost-boost, backlog)})
		}
	}
	slices.SortFunc(overtakers, func(a, b overtaker) int { return cmp.Compare(a.until, b.until) })
	q.overtakers = overtakers
	return forecast{serviceRate: q.serviceRate(now, f), overtakers: overtakers}
}

// expectedBacklog returns how long the queue is expected to stay backlogged, in seconds.
// The estimate is that it will last as long again as it has lasted so far.
func (q *poolQueue) expectedBacklog(now time.Time) float64 {
	if q.queued == 0 {
		return 0
	}
	return now.Sub(q.backlogSince).Seconds()
}

// competitor is another workspace's claim on the capacity of a pool.
type competitor struct {
	// demand is the cost per second that it submits or has waiting, in seconds per second.
	demand, share float64
}

// serviceRate returns how many seconds of cost per second f is served while it always
// has requests waiting: each other workspace gets its demand, limited to its share.
func (q *poolQueue) serviceRate(now time.Time, f *flow) float64 {
	competitors := q.competitors[:0]
	shares := f.share
	for _, other := range q.flows {
		if other == f {
			continue
		}
		demand := other.acceptedRate(now) + (other.waitingCost+other.searchCost)/arrivalRateWindow.Seconds()
		competitors = append(competitors, competitor{demand: demand, share: other.share})
		shares += other.share
	}
	q.competitors = competitors
	slices.SortFunc(competitors, func(a, b competitor) int { return cmp.Compare(a.demand/a.share, b.demand/b.share) })
	left := q.throughput(now)
	for _, c := range competitors {
		if c.demand*shares >= left*c.share {
			break
		}
		left -= c.demand
		shares -= c.share
	}
	return left * f.share / shares
}
