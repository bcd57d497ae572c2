package admission

import (
	"cmp"
	"slices"
	"time"
)

// maxWait is the longest wait that a forecast tells apart.
const maxWait = time.Minute

// stream is work that goes before a request while it waits: rate seconds of
// cost come each second, until the request has waited for until seconds.
type stream struct {
	rate, until float64
}

// outlook is what a lane expects for a request that asks to be accepted.
type outlook struct {
	// speed is how many seconds of cost its workspace gets in a second.
	speed float64
	// looking is how many seconds pass between its turn and its slot.
	looking float64
	// streams overtake it, the one that stops first in front.
	streams []stream
}

// wait returns for how long the request waits, in seconds, when ahead seconds
// of cost go before it. It is at most maxWait.
func (o *outlook) wait(ahead float64) float64 {
	rate := 0.0
	for _, s := range o.streams {
		rate += s.rate
	}
	passed := 0.0
	for _, s := range o.streams {
		served := (o.speed - rate) * (s.until - passed)
		if served >= ahead {
			break
		}
		ahead -= served
		passed = s.until
		rate -= s.rate
	}
	if o.speed <= rate {
		return maxWait.Seconds()
	}
	return min(passed+ahead/(o.speed-rate)+o.looking, maxWait.Seconds())
}

// outlook returns what is expected at now for a request of f that is queued lead
// seconds ahead of its arrival. Requests of its workspace that come later and are
// queued further ahead overtake it.
func (l *lane) outlook(now time.Time, f *flow, lead float64) outlook {
	streams := l.streams[:0]
	lasts := l.lasts(now)
	for _, a := range f.arrivals {
		if a.lead > lead && lasts > 0 {
			streams = append(streams, stream{rate: a.at(now), until: min(a.lead-lead, lasts)})
		}
	}
	slices.SortFunc(streams, func(a, b stream) int { return cmp.Compare(a.until, b.until) })
	l.streams = streams
	return outlook{speed: l.speed(now, f), streams: streams}
}

// lasts returns for how long the lane is expected to be short of capacity, in
// seconds: as long again as it has been so far.
func (l *lane) lasts(now time.Time) float64 {
	if l.queued == 0 {
		return 0
	}
	return now.Sub(l.backlogged).Seconds()
}

// claim is what another workspace takes of a lane.
type claim struct {
	// demand is the seconds of cost a second that it brings or has waiting.
	demand, share float64
}

// speed returns how many seconds of cost f gets in a second when it always has
// something waiting: the others get what they ask for, at most their share.
func (l *lane) speed(now time.Time, f *flow) float64 {
	claims := l.claims[:0]
	shares := f.share
	for _, other := range l.flows {
		if other == f {
			continue
		}
		demand := other.rate(now) + (other.cost+other.askingCost)/arrivalMemory.Seconds()
		claims = append(claims, claim{demand: demand, share: other.share})
		shares += other.share
	}
	l.claims = claims
	slices.SortFunc(claims, func(a, b claim) int { return cmp.Compare(a.demand/a.share, b.demand/b.share) })
	left := l.throughput(now)
	for _, c := range claims {
		if c.demand*shares >= left*c.share {
			break
		}
		left -= c.demand
		shares -= c.share
	}
	return left * f.share / shares
}
