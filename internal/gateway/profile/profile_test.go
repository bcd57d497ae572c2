package profile

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var assumed = Assumption{Base: 40 * time.Millisecond, PrefillRate: 35_000, PerRequest: 400 * time.Microsecond}

// engines are upstreams of one service: an idle one takes base + tokens/rate, divided by its speed.
type engines struct {
	now    time.Time
	random *rand.Rand
	base   time.Duration
	rate   float64
	speeds []float64
	// unknownQueue is the mean time that a request waits behind work that no node knew of.
	unknownQueue time.Duration
}

func newEngines(speeds ...float64) *engines {
	return &engines{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 7)), base: 40 * time.Millisecond, rate: 35_000,
		speeds: speeds, unknownQueue: 20 * time.Millisecond,
	}
}

// next returns the timing of one request, some milliseconds after the last.
func (e *engines) next() (upstream int, t Timing) {
	e.now = e.now.Add(2 * time.Millisecond)
	upstream = e.random.IntN(len(e.speeds))
	tokens, ahead := 500+e.random.IntN(3000), 0
	if e.random.IntN(3) == 0 {
		ahead = e.random.IntN(6000)
	}
	work := e.base.Seconds() + float64(tokens+ahead)/e.rate
	took := work/e.speeds[upstream] + e.random.ExpFloat64()*e.unknownQueue.Seconds()
	return upstream, NewTiming(uint32(upstream), tokens, ahead, 0, seconds(took))
}

// observer is one node's view.
type observer struct {
	service   *Service
	upstreams []Upstream
}

func newObserver(n int) *observer {
	return &observer{service: NewService(assumed), upstreams: make([]Upstream, n)}
}

func (o *observer) record(upstream int, t Timing, now time.Time) {
	o.service.Record(&o.upstreams[upstream], t, now)
}

func (o *observer) learn(e *engines, timings int) {
	for range timings {
		upstream, t := e.next()
		o.record(upstream, t, e.now)
	}
}

func manySpeeds(n int, kinds ...float64) []float64 {
	var out []float64
	for i := range n {
		out = append(out, kinds[i%len(kinds)])
	}
	return out
}

func TestUnevenSpeedsAreLearned(t *testing.T) {
	e := newEngines(manySpeeds(30, 0.6, 1, 1.6)...)
	o := newObserver(30)
	o.learn(e, 3000)
	for i, speed := range e.speeds {
		relative := o.upstreams[i].Speed() / o.upstreams[i%3+0].Speed()
		require.InDelta(t, 1, relative, 0.3, "upstreams of one kind")
		require.InDelta(t, math.Log(speed), math.Log(o.upstreams[i].Speed()), 0.3, "speed %g", speed)
	}
}

func TestEvenSpeedsNearTheAssumedOnesChangeNothing(t *testing.T) {
	e := newEngines(manySpeeds(30, 1)...)
	o := newObserver(30)
	for range 20 {
		o.learn(e, 500)
		for i := range o.upstreams {
			require.Zero(t, o.upstreams[i].Class())
		}
	}
}

func TestBaseAndRateOfAnotherEngineAreLearned(t *testing.T) {
	e := newEngines(manySpeeds(30, 1)...)
	e.base, e.rate, e.unknownQueue = 53*time.Millisecond, 91_800, 4*time.Millisecond
	o := newObserver(30)
	_, ok := o.service.PrefillRate()
	require.False(t, ok)
	o.learn(e, 6000)
	rate, ok := o.service.PrefillRate()
	require.True(t, ok)
	require.InEpsilon(t, e.rate, rate, 0.25)
	require.InDelta(t, (57 * time.Millisecond).Seconds(), o.service.Base().Seconds(), 0.012)
}

func TestAChangeOfSpeedIsFollowed(t *testing.T) {
	e := newEngines(manySpeeds(30, 1)...)
	o := newObserver(30)
	o.learn(e, 3000)
	e.speeds[3] = 0.25
	o.learn(e, 30*20)
	require.Less(t, o.upstreams[3].Speed(), 0.5, "20 timings of each")
	e.speeds[3] = 1
	o.learn(e, 30*60)
	require.Zero(t, o.upstreams[3].Class())
	require.Zero(t, o.upstreams[4].Class(), "the others")
}

// TestAKnownQueueIsNotSlowness guards against upstreams with much work being taken for slow ones.
func TestAKnownQueueIsNotSlowness(t *testing.T) {
	e := newEngines(manySpeeds(10, 1)...)
	o := newObserver(10)
	for range 3000 {
		upstream, timing := e.next()
		if upstream == 0 {
			const ahead = 20_000
			timing = NewTiming(0, 1000, ahead, 0, seconds(0.04+(1000+ahead)/e.rate+0.2*e.random.ExpFloat64()))
		}
		o.record(upstream, timing, e.now)
	}
	require.Zero(t, o.upstreams[0].Class())
}

func TestAStuckUpstreamAndABadTimingDoNotSpoilTheOthers(t *testing.T) {
	e := newEngines(manySpeeds(30, 1)...)
	o := newObserver(30)
	for range 6000 {
		upstream, timing := e.next()
		switch upstream {
		case 0:
			timing.Millis = 20_000
		case 1:
			timing.Millis = 1
		case 2:
			timing.Millis, timing.Tokens = 0, 1<<30
		}
		o.record(upstream, timing, e.now)
	}
	require.Less(t, o.upstreams[0].Speed(), 0.5)
	for i := 3; i < 30; i++ {
		require.Zero(t, o.upstreams[i].Class())
	}
	rate, _ := o.service.PrefillRate()
	require.InEpsilon(t, 35_000, rate, 0.35)
}

func TestAnUpstreamWithoutTimingsReturnsToTheOthers(t *testing.T) {
	e := newEngines(1, 1, 1, 0.4)
	o := newObserver(4)
	o.learn(e, 1000)
	require.Less(t, o.upstreams[3].Class(), 0)
	o.upstreams[3].TakeChange()
	o.upstreams[3].Refresh(e.now.Add(5 * time.Second))
	require.Less(t, o.upstreams[3].Class(), 0)
	o.upstreams[3].Refresh(e.now.Add(2 * time.Minute))
	require.Zero(t, o.upstreams[3].Class())
	require.True(t, o.upstreams[3].TakeChange())
}

// TestNodesThatLoseMessagesAgree guards against nodes that send the same session to different
// upstreams, as each has learnt other speeds.
func TestNodesThatLoseMessagesAgree(t *testing.T) {
	const nodes, upstreams = 40, 30
	e := newEngines(manySpeeds(upstreams, 0.6, 1, 1.6)...)
	outboxes := make([]Outbox, nodes)
	inboxes := make([]Inbox, nodes)
	views := make([]*observer, nodes)
	for i := range views {
		views[i] = newObserver(upstreams)
	}
	views[nodes-1].service = nil // starts later
	for round := range 60 {
		for range 100 {
			upstream, timing := e.next()
			sender := e.random.IntN(nodes - 1)
			views[sender].record(upstream, timing, e.now)
			outboxes[sender].Add(timing, e.now)
		}
		if round == 30 {
			views[nodes-1] = newObserver(upstreams)
		}
		exchangeTimings(e, outboxes, inboxes, views)
	}
	differ := 0
	for _, v := range views {
		for i := range upstreams {
			if v.upstreams[i].Class() != views[0].upstreams[i].Class() {
				differ++
			}
		}
	}
	require.LessOrEqual(t, differ, nodes*upstreams/20, "classes on which a node differs from the first")
}

// exchangeTimings sends each node's timings to all others; one message in twenty is lost.
func exchangeTimings(e *engines, outboxes []Outbox, inboxes []Inbox, views []*observer) {
	for from := range outboxes {
		list, total := outboxes[from].Latest(e.now)
		for to, v := range views {
			if to == from || v.service == nil || e.random.IntN(20) == 0 {
				continue
			}
			for _, t := range inboxes[to].New(fmt.Sprint(from), "1", list, total) {
				v.record(int(t.Upstream), t, e.now)
			}
		}
	}
}

func TestATimingIsReceivedOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	var out Outbox
	var in Inbox
	got := 0
	for i := range 50 {
		out.Add(NewTiming(uint32(i), 100, 0, 0, time.Second), now)
		list, total := out.Latest(now)
		require.LessOrEqual(t, len(list), maxShared)
		if i%3 == 0 {
			got += len(in.New("n", "1", list, total))
		}
		require.Empty(t, in.New("n", "1", nil, 0), "a brief message")
	}
	require.Equal(t, 49, got)
	list, total := out.Latest(now)
	require.Len(t, in.New("n", "2", list, total), maxShared, "of a new process")
	require.Empty(t, in.New("n", "2", list, total))
	late, _ := out.Latest(now.Add(sharedFor + time.Second))
	require.Empty(t, late)
	require.NotPanics(t, func() { in.New("n", "2", list[:1], total+1000) })
}
