package fleet

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/platform/hostlist"
)

const (
	// leavingLimit is how long a leaving upstream may still get new work after the host list shows it.
	leavingLimit = 3 * time.Second
	// broadcastDelay is the broadcast delay of a mark in these tests, as slow as at 460 nodes.
	broadcastDelay = 700 * time.Millisecond
	// everyCall is more calls than a node makes in these tests.
	everyCall = 1_000_000
)

// fakeHostList shows h1 as leaving since from. Its first hangs calls block until their context ends.
type fakeHostList struct {
	from  time.Time
	hangs atomic.Int64
	calls *atomic.Int64
}

func (l *fakeHostList) List(ctx context.Context) (hostlist.List, error) {
	l.calls.Add(1)
	if l.hangs.Add(-1) >= 0 {
		<-ctx.Done()
		return hostlist.List{}, ctx.Err()
	}
	leaving := !time.Now().Before(l.from)
	return hostlist.List{Hosts: []hostlist.Host{{Host: "h1", Leaving: leaving}, {Host: "h2"}}}, nil
}

// fakeView is the membership as seen by members[self].
type fakeView struct {
	self    int
	members []membership.Member
}

func (v fakeView) Self() membership.Member { return v.members[v.self] }

func (v fakeView) Members() []membership.Member { return v.members }

func (v fakeView) Lookup(incarnation ident.Incarnation) (membership.Member, bool) {
	i := slices.IndexFunc(v.members, func(m membership.Member) bool { return m.Incarnation == incarnation })
	return v.members[max(i, 0)], i >= 0
}

// delayedBroadcaster delivers each published rumour to all subscribers after broadcastDelay.
type delayedBroadcaster struct {
	handlers *[]func(membership.Rumour)
}

func (s delayedBroadcaster) Publish(topic membership.Topic, key string, version uint64, payload []byte) error {
	rumour := membership.Rumour{Topic: topic, Key: key, Version: version, Payload: payload}
	time.AfterFunc(broadcastDelay, func() {
		for _, handle := range *s.handlers {
			handle(rumour)
		}
	})
	return nil
}

func (s delayedBroadcaster) Subscribe(_ membership.Topic, f func(membership.Rumour)) {
	*s.handlers = append(*s.handlers, f)
}

// pollingNode describes the faults of one node that takes part in polling.
type pollingNode struct {
	// dead nodes take no turns, and the others have not detected it.
	dead bool
	// hangs is how many of its first calls get no response.
	hangs int64
	// clockOff is how far its clock is ahead.
	clockOff time.Duration
}

// runPollingNodes runs nodes in three failure domains whose only source is the host list,
// which shows h1 as leaving after shownAfter. It requires every live node to know within
// leavingLimit and returns the reads per second.
func runPollingNodes(t *testing.T, nodes []pollingNode, shownAfter time.Duration) float64 {
	t.Helper()
	var calls atomic.Int64
	var handlers []func(membership.Rumour)
	var all []*LeavingMarks
	members := membersIn(len(nodes), 3)
	begun := time.Now()
	shown := begun.Add(shownAfter)
	ctx, cancel := context.WithCancel(t.Context())
	for n, own := range nodes {
		leaving := NewLeavingMarks(delayedBroadcaster{&handlers}, time.Now)
		all = append(all, leaving)
		if own.dead {
			continue
		}
		clock := func() time.Time { return time.Now().Add(own.clockOff) }
		list := &fakeHostList{from: shown, calls: &calls}
		list.hangs.Store(own.hangs)
		watch := NewHostListWatch(list, fakeView{n, members}, leaving, clock, slog.New(slog.DiscardHandler))
		go watch.Run(ctx)
	}
	time.Sleep(time.Until(shown.Add(leavingLimit)))
	synctest.Wait()
	for n, own := range nodes {
		if !own.dead {
			require.True(t, all[n].IsLeaving(readyUpstream), "node %d does not know that h1 is leaving", n)
			require.False(t, all[n].IsLeaving(Upstream{ID: "u2", Host: "h2"}))
		}
	}
	passed := time.Since(begun).Seconds()
	cancel()
	time.Sleep(time.Minute) // lets pending deliveries finish
	return float64(calls.Load()) / passed
}

func TestHostListedAsLeavingIsKnownOnAllNodesInTime(t *testing.T) {
	for name, nodes := range map[string][]pollingNode{
		"no faults":                          make([]pollingNode, 6),
		"one node":                           make([]pollingNode, 1),
		"a dead failure domain":              {{dead: true}, {}, {}, {dead: true}, {}, {}},
		"a failure domain without responses": {{}, {hangs: everyCall}, {}, {}, {hangs: everyCall}, {}},
		"one hanging call":                   {{hangs: 1}},
		"clock skew":                         {{clockOff: time.Hour}, {}, {clockOff: -7 * time.Second}, {}, {clockOff: 150 * time.Millisecond}, {}},
	} {
		t.Run(name, func(t *testing.T) {
			for shownAfter := range 40 {
				synctest.Test(t, func(t *testing.T) {
					runPollingNodes(t, nodes, time.Duration(shownAfter)*137*time.Millisecond)
				})
			}
		})
	}
}

func TestHostListIsReadOncePerTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reads := runPollingNodes(t, make([]pollingNode, 60), time.Minute)
		require.InDelta(t, 1/HostListInterval.Seconds(), reads, 0.1)
	})
}
