package admission

import (
	"slices"
	"time"
)

// askingTime is how long a request looks for a slot when there are free ones.
const askingTime = 100 * time.Millisecond

// ask takes in that t, which has its turn, looks for a slot from now on.
func (f *flow) ask(now time.Time, t *Ticket) {
	t.state = stateAsking
	t.asks = now
	f.askingCost += t.Request.Cost.Seconds()
	f.lane.asking = append(f.lane.asking, t)
}

// stopAsking takes in that t looks for a slot no more.
func (f *flow) stopAsking(t *Ticket) {
	l := f.lane
	i := slices.Index(l.asking, t)
	l.asking = slices.Delete(l.asking, i, i+1)
	f.askingCost -= t.Request.Cost.Seconds()
	if len(l.asking) == 0 {
		f.askingCost = 0
	}
}

// short reports whether slots are short: a request has been looking for one in vain.
func (l *lane) short(now time.Time) bool {
	return len(l.asking) > 0 && now.Sub(l.asking[0].asks) > askingTime
}

// looking returns for how long a request with that latest start looks for a slot
// once it has its turn, in seconds: those that look for one now and have to start
// earlier go before it.
func (l *lane) looking(now, latestStart time.Time) float64 {
	if !l.short(now) {
		return 0
	}
	cost := 0.0
	for _, t := range l.asking {
		if !t.latest.After(latestStart) {
			cost += t.Request.Cost.Seconds()
		}
	}
	return cost / l.throughput(now)
}
