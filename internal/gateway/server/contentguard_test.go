package server

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/poison"
)

// guardClock is a clock that tests move.
type guardClock struct{ at time.Time }

func (c *guardClock) now() time.Time { return c.at }

func newTestGuard(c *guardClock) *contentGuard {
	return newContentGuard(c.now, rand.New(rand.NewPCG(16, 1)), slog.New(slog.DiscardHandler))
}

func contentNamed(name string) poison.Fingerprint { return poison.FingerprintOf("", "", "plain", name) }

func upstreams(n int) map[string]site.Upstream {
	out := make(map[string]site.Upstream)
	for i := range n {
		id := fmt.Sprintf("i-%d", i)
		out[id] = site.Upstream{ID: id, Service: "plain", Born: time.Unix(100, 0)}
	}
	return out
}

func TestACrashThatShowsAfterItsEntryLapsesCounts(t *testing.T) {
	for _, lapse := range []time.Duration{time.Second, 3600 * time.Millisecond, 6 * time.Second, 15 * time.Second} {
		clock := &guardClock{time.Unix(1000, 0)}
		g, all := newTestGuard(clock), upstreams(3)
		for id, u := range all {
			g.seen(all)
			g.AnswerLost(contentNamed("fatal"), u)
			clock.at = clock.at.Add(lapse)
			delete(all, id)
			g.seen(all)
		}
		require.True(t, g.Convicted(contentNamed("fatal")), "entries lapse after %s", lapse)
	}
}

func TestACrashThatShowsWhenTheUpstreamStartsAnewCounts(t *testing.T) {
	clock := &guardClock{time.Unix(1000, 0)}
	g, all := newTestGuard(clock), upstreams(1)
	for crash := range 3 {
		u := all["i-0"]
		g.AnswerLost(contentNamed("fatal"), u)
		clock.at = clock.at.Add(5 * time.Second)
		u.Born = u.Born.Add(time.Duration(crash+1) * time.Second)
		all["i-0"] = u
		g.seen(all)
	}
	require.True(t, g.Convicted(contentNamed("fatal")))
}

func TestAnUpstreamThatLivedOnConvictsNothingWhenItEndsLater(t *testing.T) {
	clock := &guardClock{time.Unix(1000, 0)}
	g, all := newTestGuard(clock), upstreams(3)
	for id, u := range all {
		connected := clock.at
		clock.at = clock.at.Add(time.Second)
		g.AnswerLost(contentNamed("innocent"), u)
		clock.at = clock.at.Add(time.Second)
		g.Alive(u, connected, clock.at)
		clock.at = clock.at.Add(time.Second)
		delete(all, id)
		g.seen(all)
	}
	require.False(t, g.registry.Suspect(contentNamed("innocent")))
}

func TestAnAnswerOfAnUpstreamThatMayHaveStartedAnewClearsNothing(t *testing.T) {
	clock := &guardClock{time.Unix(1000, 0)}
	g, all := newTestGuard(clock), upstreams(1)
	u := all["i-0"]
	g.AnswerLost(contentNamed("fatal"), u)
	clock.at = clock.at.Add(time.Second)
	g.Alive(u, clock.at, clock.at) // over a connection made after the answer was lost
	u.Born = u.Born.Add(time.Second)
	g.seen(map[string]site.Upstream{"i-0": u})
	require.Equal(t, 1, g.registry.Crashes(contentNamed("fatal")))
}

func TestUpstreamsThatLeaveConvictNothing(t *testing.T) {
	clock := &guardClock{time.Unix(1000, 0)}
	g, all := newTestGuard(clock), upstreams(4)
	for id, u := range all {
		before := u
		u.Draining = true
		all[id] = u
		g.seen(all)
		g.AnswerLost(contentNamed("innocent"), before)
		delete(all, id)
		g.Unreachable(before)
		g.seen(all)
	}
	require.False(t, g.registry.Suspect(contentNamed("innocent")))
}

func TestCrashesThatNodesSawOneEachAddUpBehindManySuspects(t *testing.T) {
	for content := range 10 {
		fatal := contentNamed(fmt.Sprint("fatal ", content))
		nodes := nodesWithACrashEach(6, fatal)
		for range 40 {
			for _, from := range nodes {
				for _, to := range nodes {
					if from != to {
						to.hear(from.crashed())
					}
				}
			}
		}
		for i, g := range nodes {
			require.True(t, g.Convicted(fatal), "content %d at node %d", content, i)
			require.False(t, g.Convicted(contentNamed("in flight beside it 7 at 0")))
		}
	}
}

// nodesWithACrashEach returns nodes that saw one upstream each die under a content,
// with forty others in flight there.
func nodesWithACrashEach(n int, fatal poison.Fingerprint) []*contentGuard {
	clock := &guardClock{time.Unix(1000, 0)}
	all := upstreams(n)
	var out []*contentGuard
	for i := range n {
		g, u := newTestGuard(clock), all[fmt.Sprintf("i-%d", i)]
		g.seen(all)
		for other := range 40 {
			g.AnswerLost(contentNamed(fmt.Sprintf("in flight beside it %d at %d", other, i)), u)
		}
		g.AnswerLost(fatal, u)
		g.Unreachable(u)
		out = append(out, g)
	}
	return out
}

func TestASuccessAmongCrashesAcquitsNothing(t *testing.T) {
	g := newTestGuard(&guardClock{time.Unix(1000, 0)})
	for crash := range 3 {
		g.Succeeded(contentNamed("fatal"))
		crashUnder(g, "fatal", crash)
		g.Succeeded(contentNamed("fatal"))
	}
	require.True(t, g.Convicted(contentNamed("fatal")))
	g.Succeeded(contentNamed("fatal")) // of a run that began before
	require.True(t, g.Convicted(contentNamed("fatal")))
}

// crashUnder has an upstream end under a content.
func crashUnder(g *contentGuard, name string, number int) {
	u := site.Upstream{ID: fmt.Sprint("i-", number), Born: time.Unix(100, 0)}
	g.AnswerLost(contentNamed(name), u)
	g.Unreachable(u)
}
