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

// fakeClock is a clock that tests advance.
type fakeClock struct{ at time.Time }

func (c *fakeClock) now() time.Time { return c.at }

func newTestGuard(c *fakeClock) *contentGuard {
	return newContentGuard(c.now, rand.New(rand.NewPCG(16, 1)), slog.New(slog.DiscardHandler))
}

// testContent returns the fingerprint of a named content.
func testContent(name string) poison.Fingerprint { return poison.FingerprintOf("", "", "plain", name) }

// testUpstreams returns n upstreams by ID.
func testUpstreams(n int) map[string]site.Upstream {
	out := make(map[string]site.Upstream)
	for i := range n {
		id := fmt.Sprintf("i-%d", i)
		out[id] = site.Upstream{ID: id, Service: "plain", StartedAt: time.Unix(100, 0)}
	}
	return out
}

// The store drops the entry of a crashed upstream only after some heartbeats are missed.
func TestCrashCountsWhenEntryLapsesLater(t *testing.T) {
	for _, lapse := range []time.Duration{time.Second, 3600 * time.Millisecond, 6 * time.Second, 15 * time.Second} {
		clock := &fakeClock{time.Unix(1000, 0)}
		g, all := newTestGuard(clock), testUpstreams(3)
		for id, u := range all {
			g.observeUpstreams(all)
			g.ResponseLost(poison.Content{Whole: testContent("fatal")}, u)
			clock.at = clock.at.Add(lapse)
			delete(all, id)
			g.observeUpstreams(all)
		}
		require.True(t, g.Quarantined(poison.Content{Whole: testContent("fatal")}), "entries lapse after %s", lapse)
	}
}

func TestCrashCountsWhenUpstreamRestarts(t *testing.T) {
	clock := &fakeClock{time.Unix(1000, 0)}
	g, all := newTestGuard(clock), testUpstreams(1)
	for crash := range 3 {
		u := all["i-0"]
		g.ResponseLost(poison.Content{Whole: testContent("fatal")}, u)
		clock.at = clock.at.Add(5 * time.Second)
		u.StartedAt = u.StartedAt.Add(time.Duration(crash+1) * time.Second)
		all["i-0"] = u
		g.observeUpstreams(all)
	}
	require.True(t, g.Quarantined(poison.Content{Whole: testContent("fatal")}))
}

// An upstream loses a response, answers another request, and ends later for another reason.
func TestLostResponseOfSurvivingUpstreamIsNoCrash(t *testing.T) {
	clock := &fakeClock{time.Unix(1000, 0)}
	g, all := newTestGuard(clock), testUpstreams(3)
	for id, u := range all {
		connected := clock.at
		clock.at = clock.at.Add(time.Second)
		g.ResponseLost(poison.Content{Whole: testContent("innocent")}, u)
		clock.at = clock.at.Add(time.Second)
		g.Alive(u, connected, clock.at)
		clock.at = clock.at.Add(time.Second)
		delete(all, id)
		g.observeUpstreams(all)
	}
	require.False(t, g.registry.Suspect(testContent("innocent")))
}

// A response over a connection made after the loss may come from a restarted process, so it is no
// evidence that the process survived.
func TestResponseOnNewerConnectionDoesNotClearLostResponse(t *testing.T) {
	clock := &fakeClock{time.Unix(1000, 0)}
	g, all := newTestGuard(clock), testUpstreams(1)
	u := all["i-0"]
	g.ResponseLost(poison.Content{Whole: testContent("fatal")}, u)
	clock.at = clock.at.Add(time.Second)
	g.Alive(u, clock.at, clock.at) // over a connection made after the response was lost
	u.StartedAt = u.StartedAt.Add(time.Second)
	g.observeUpstreams(map[string]site.Upstream{"i-0": u})
	require.Equal(t, 1, g.registry.Crashes(testContent("fatal")))
}

func TestLostResponseOfDrainingUpstreamIsNoCrash(t *testing.T) {
	clock := &fakeClock{time.Unix(1000, 0)}
	g, all := newTestGuard(clock), testUpstreams(4)
	for id, u := range all {
		before := u
		u.Draining = true
		all[id] = u
		g.observeUpstreams(all)
		g.ResponseLost(poison.Content{Whole: testContent("innocent")}, before)
		delete(all, id)
		g.Unreachable(before)
		g.observeUpstreams(all)
	}
	require.False(t, g.registry.Suspect(testContent("innocent")))
}

// Each node sees one crash of the content, among many other contents in flight at that moment. The
// nodes quarantine it only if the crash is exchanged despite the bound on entries per message.
func TestCrashesSeenByDifferentNodesAddUp(t *testing.T) {
	for content := range 10 {
		fatal := testContent(fmt.Sprint("fatal ", content))
		nodes := newGuardsWithOneCrashEach(6, fatal)
		for range 40 {
			for _, from := range nodes {
				for _, to := range nodes {
					if from != to {
						to.merge(from.entriesToShare())
					}
				}
			}
		}
		for i, g := range nodes {
			require.True(t, g.Quarantined(poison.Content{Whole: fatal}), "content %d at node %d", content, i)
			require.False(t, g.Quarantined(poison.Content{Whole: testContent("in flight beside it 7 at 0")}))
		}
	}
}

// newGuardsWithOneCrashEach returns the guards of nodes that each saw a different upstream crash
// on the same content, with forty other requests in flight there.
func newGuardsWithOneCrashEach(n int, fatal poison.Fingerprint) []*contentGuard {
	clock := &fakeClock{time.Unix(1000, 0)}
	all := testUpstreams(n)
	var out []*contentGuard
	for i := range n {
		g, u := newTestGuard(clock), all[fmt.Sprintf("i-%d", i)]
		g.observeUpstreams(all)
		for other := range 40 {
			g.ResponseLost(poison.Content{Whole: testContent(fmt.Sprintf("in flight beside it %d at %d", other, i))}, u)
		}
		g.ResponseLost(poison.Content{Whole: fatal}, u)
		g.Unreachable(u)
		out = append(out, g)
	}
	return out
}

func TestSuccessBetweenCrashesDoesNotClearContent(t *testing.T) {
	g := newTestGuard(&fakeClock{time.Unix(1000, 0)})
	for crash := range 3 {
		g.Succeeded(poison.Content{Whole: testContent("fatal")}, g.now())
		crashUpstream(g, "fatal", crash)
		g.Succeeded(poison.Content{Whole: testContent("fatal")}, g.now())
	}
	require.True(t, g.Quarantined(poison.Content{Whole: testContent("fatal")}))
	g.Succeeded(poison.Content{Whole: testContent("fatal")}, g.now()) // a request that was sent before the quarantine
	require.True(t, g.Quarantined(poison.Content{Whole: testContent("fatal")}))
}

// crashUpstream makes an upstream lose its response to a content and become unreachable.
func crashUpstream(g *contentGuard, name string, number int) {
	u := site.Upstream{ID: fmt.Sprint("i-", number), StartedAt: time.Unix(100, 0)}
	g.ResponseLost(poison.Content{Whole: testContent(name)}, u)
	g.Unreachable(u)
}
