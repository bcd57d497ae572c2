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
	// leavingLimit is for how long a leaving upstream may get new work once the list shows it.
	leavingLimit = 3 * time.Second
	// spreadTime is how long a mark takes to other nodes in these tests, in which it is as slow as at 460.
	spreadTime = 700 * time.Millisecond
	// allCalls is more than a node makes in these tests.
	allCalls = 1_000_000
)

// fakeHostList shows h1 as leaving from a time on; its first calls may hang until their context ends.
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

// fakeView is what one node sees of members.
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

// spread brings what one node publishes to all after spreadTime.
type spread struct {
	hear *[]func(membership.Rumour)
}

func (s spread) Publish(topic membership.Topic, key string, version uint64, payload []byte) error {
	rumour := membership.Rumour{Topic: topic, Key: key, Version: version, Payload: payload}
	time.AfterFunc(spreadTime, func() {
		for _, hear := range *s.hear {
			hear(rumour)
		}
	})
	return nil
}

func (s spread) Subscribe(_ membership.Topic, f func(membership.Rumour)) {
	*s.hear = append(*s.hear, f)
}

// listedNode is a node that reads the list by turns, and what is wrong with it.
type listedNode struct {
	// dead takes no turn; others have not noticed.
	dead bool
	// hangs is how many of its first calls get no answer.
	hangs int64
	// clockOff is by how much its clock is ahead.
	clockOff time.Duration
}

// runListed lets nodes of three failure domains learn by the list alone that h1 leaves
// and requires all that live to know in time. It returns how often the list was read a second.
func runListed(t *testing.T, nodes []listedNode, shownAfter time.Duration) float64 {
	t.Helper()
	var calls atomic.Int64
	var hear []func(membership.Rumour)
	var all []*Leaving
	members := membersIn(len(nodes), 3)
	begun := time.Now()
	shown := begun.Add(shownAfter)
	ctx, cancel := context.WithCancel(t.Context())
	for n, own := range nodes {
		leaving := NewLeaving(spread{&hear}, time.Now)
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
			require.True(t, all[n].IsLeaving(sample), "node %d sends h1 work", n)
			require.False(t, all[n].IsLeaving(Upstream{ID: "u2", Host: "h2"}))
		}
	}
	passed := time.Since(begun).Seconds()
	cancel()
	time.Sleep(time.Minute) // what was published has arrived
	return float64(calls.Load()) / passed
}

func TestLeavingHostOfTheListIsKnownEverywhereInTime(t *testing.T) {
	for name, nodes := range map[string][]listedNode{
		"all well":               make([]listedNode, 6),
		"one node":               make([]listedNode, 1),
		"a dead failure domain":  {{dead: true}, {}, {}, {dead: true}, {}, {}},
		"a domain without reply": {{}, {hangs: allCalls}, {}, {}, {hangs: allCalls}, {}},
		"one hanging call":       {{hangs: 1}},
		"clocks that are off":    {{clockOff: time.Hour}, {}, {clockOff: -7 * time.Second}, {}, {clockOff: 150 * time.Millisecond}, {}},
	} {
		t.Run(name, func(t *testing.T) {
			for shownAfter := range 40 {
				synctest.Test(t, func(t *testing.T) {
					runListed(t, nodes, time.Duration(shownAfter)*137*time.Millisecond)
				})
			}
		})
	}
}

func TestListIsReadOnceATurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reads := runListed(t, make([]listedNode, 60), time.Minute)
		require.InDelta(t, 1/HostListTurn.Seconds(), reads, 0.1)
	})
}
