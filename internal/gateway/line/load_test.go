package line

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// load is a request each interval, in turn of the routes, at one upstream that reads the prompts in the
// order in which they come.
type load struct {
	interval time.Duration
	// own is how long the upstream reads each prompt, by route; target the target latency.
	own, target []time.Duration
	// hot is the route whose requests belong to a workspace beyond its share; -1 for none.
	hot int
}

// inTime plays the load for ten seconds and returns the share of requests of each route that are in
// time, and the share that is refused.
func (l *load) inTime(decide func(*Request, *Room) Decision) (served, refused []float64) {
	served, refused = make([]float64, len(l.own)), make([]float64, len(l.own))
	var backlog time.Duration
	count := int(10 * time.Second / l.interval)
	shortest := slices.Min(l.target)
	for i := range count {
		route := i % len(l.own)
		backlog = max(0, backlog-l.interval)
		r := Request{Left: 6 * time.Second, OverShare: route == l.hot}
		d := decide(&r, &Room{Wait: backlog, Own: l.own[route], Late: 0.5, Target: shortest})
		part := float64(len(l.own)) / float64(count)
		switch {
		case d.Refuse:
			refused[route] += part
			continue
		case backlog+l.own[route] <= l.target[route]:
			served[route] += part
		}
		backlog += l.own[route]
	}
	return served, refused
}

// deadlineOnly is the rule without a target latency and shares.
func deadlineOnly(r *Request, room *Room) Decision {
	room.Target = 0
	return Decide(r, room)
}

func TestBurstLeavesAsManyInTimeAsThereIsRoomFor(t *testing.T) {
	l := load{
		interval: 50 * time.Millisecond, hot: -1,
		own:    []time.Duration{150 * time.Millisecond, 50 * time.Millisecond},
		target: []time.Duration{800 * time.Millisecond, 600 * time.Millisecond},
	}
	before, _ := l.inTime(deadlineOnly)
	served, refused := l.inTime(Decide)
	t.Logf("in time %.2f (before %.2f), refused %.2f", served, before, refused)
	require.Greater(t, served[0], 2*before[0])
	require.Greater(t, served[1], 2*before[1])
	for route := range served {
		require.InDelta(t, 1, served[route]+refused[route], 0.01, "a request is sent although it comes late")
		require.Greater(t, served[route], 0.25, "a route starves")
	}
}

func TestHotWorkspaceLeavesRoomToOthers(t *testing.T) {
	l := load{
		interval: 50 * time.Millisecond, hot: 0,
		own:    []time.Duration{100 * time.Millisecond, 40 * time.Millisecond, 40 * time.Millisecond},
		target: []time.Duration{600 * time.Millisecond, 600 * time.Millisecond, 600 * time.Millisecond},
	}
	before, _ := l.inTime(deadlineOnly)
	served, refused := l.inTime(Decide)
	t.Logf("in time %.2f (before %.2f), refused %.2f", served, before, refused)
	require.Greater(t, served[1], 0.99)
	require.Greater(t, served[2], 0.99)
	require.Less(t, before[1], 0.9)
	require.Greater(t, served[0], 0.25, "the hot workspace starves")
}

func TestLostCapacityIsOverWhenItIsBack(t *testing.T) {
	const target = 500 * time.Millisecond
	var backlog time.Duration
	late := 0
	for i := range 400 { // 20 s; from 5 to 12 s the upstream reads a third as fast
		own := 40 * time.Millisecond
		if i >= 100 && i < 240 {
			own *= 3
		}
		backlog = max(0, backlog-50*time.Millisecond)
		r := Request{Left: 6 * time.Second}
		if Decide(&r, &Room{Wait: backlog, Own: own, Late: 0.5, Target: target}).Refuse {
			require.Less(t, i, 252, "requests are refused although the capacity is back")
			continue
		}
		if backlog+own > target {
			late++
		}
		backlog += own
	}
	require.Zero(t, late)
}
