package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/cloud"
)

// settledSiteWithLookups returns a settled site that looks up single hosts and lists all hosts only
// every 250 s, like a site with 10,000 hosts.
func settledSiteWithLookups(t *testing.T) (*testSite, *Reconciler, *countingCloud) {
	t.Helper()
	s, r, c := settledSiteWith(t, true)
	r.lastListing.afterMark = false
	for n := range 10_000 {
		ended := cloud.Host{ID: ident.Host(fmt.Sprintf("e%d", n)), ClientToken: fmt.Sprintf("ended-%d", n), State: cloud.StateTerminated}
		r.lastListing.hosts = append(r.lastListing.hosts, ended)
	}
	return s, r, c
}

// addMark adds a mark that does not come from a reclaim notice.
func (s *testSite) addMark(subject fleet.Subject) {
	s.extraMarks = append(s.extraMarks, fleet.Mark{Subject: subject, At: s.now})
	s.markChanges++
}

func TestReclaimNoticeAtLargeSiteNeedsNoListing(t *testing.T) {
	s, r, c := settledSiteWithLookups(t)
	require.Equal(t, 1, s.platform.Reclaim(string(s.anyRunningHost()), "", "", time.Minute))
	s.passAfter(r, passInterval)
	require.Equal(t, 5, s.runningByDomain()["all"], "no replacement was started")
	for range 15 {
		s.passAfter(r, passInterval)
	}
	require.Equal(t, 4, s.runningByDomain()["all"], "the host was not drained and terminated")
	require.Equal(t, 4, s.readyUpstreams("m1"))
	require.Len(t, s.registry.Upstreams(), 4)
	require.Len(t, s.platform.Bill(), 5)
	require.Zero(t, c.listCalls)
	// The lookup after the mark, the start, the lookup before the load, and the lookup after the
	// termination; the recheck of the mark finds no intent any more.
	require.EqualValues(t, 4, c.startCalls.Load())
}

func TestMarkedHostIsRecheckedAtLargeSite(t *testing.T) {
	for _, upstream := range []bool{false, true} {
		s, r, c := settledSiteWithLookups(t)
		host := s.anyRunningHost()
		subject := fleet.Subject{Host: host}
		if upstream {
			subject = fleet.Subject{Upstream: upstreamID(host)}
		}
		s.addMark(subject)
		s.passAfter(r, passInterval)
		require.EqualValues(t, 1, c.startCalls.Load())
		require.Equal(t, 4, s.runningByDomain()["all"])
		require.NoError(t, s.cloud.Terminate(t.Context(), host))
		s.passAfter(r, markRecheckDelay-passInterval)
		require.EqualValues(t, 1, c.startCalls.Load(), "it was looked up again too early")
		s.passAfter(r, passInterval)
		require.Equal(t, 4, s.runningByDomain()["all"], "the termination of the host was not noticed")
		require.Zero(t, c.listCalls)
	}
}

func TestMarkOfUnmanagedHostIsIgnored(t *testing.T) {
	s, r, c := settledSiteWithLookups(t)
	s.addMark(fleet.Subject{Host: "an entry host"})
	s.passAfter(r, passInterval)
	require.Zero(t, c.listCalls)
	require.Zero(t, c.startCalls.Load())
}

func TestManyMarksLeadToAListing(t *testing.T) {
	s, r, c := settledSiteWith(t, true)
	s.site.Models[0].Replicas = maxHostLookups + 1
	s.passes(r, 8, s.requireWithinMaxHosts)
	require.Equal(t, maxHostLookups+1, s.readyUpstreams("m1"))
	c.listCalls = 0
	require.Equal(t, maxHostLookups+1, s.platform.Reclaim("", "", "", time.Minute))
	s.passAfter(r, passInterval)
	require.Positive(t, c.listCalls)
}

func TestHostIsLookedUpBeforeLoad(t *testing.T) {
	s, r, c := settledSiteWithLookups(t)
	ended := s.anyRunningHost()
	require.NoError(t, s.cloud.Terminate(t.Context(), ended))
	s.site.Models[0].Adapters = []ident.Adapter{"a1"}
	s.passAfter(r, passInterval)
	require.EqualValues(t, 5, c.startCalls.Load(), "want four lookups before loads, and the start of a replacement")
	require.Equal(t, 4, s.runningByDomain()["all"])
	for _, u := range s.registry.Upstreams() {
		require.NotEqual(t, ended, u.Host, "a load was ordered on a terminated host")
	}
}

func TestTerminationIsLookedUpAtLargeSite(t *testing.T) {
	s, r, c := settledSiteWithLookups(t)
	s.site.Models[0].Replicas = 3
	s.passAfter(r, passInterval)
	require.Positive(t, c.listCalls, "a configuration change was applied without a new listing")
	c.listCalls = 0
	c.loseTerminates.Store(1)
	s.passAfter(r, minDrain)
	require.Equal(t, 3, s.runningByDomain()["all"])
	s.passAfter(r, passInterval)
	require.Len(t, s.registry.Upstreams(), 3)
	require.EqualValues(t, 1, c.startCalls.Load())
	require.Zero(t, c.listCalls)
}

func TestVanishedHostIsReplacedAtNextPeriodicListingOfLargeSite(t *testing.T) {
	s, r, c := settledSiteWithLookups(t)
	require.NoError(t, s.cloud.Terminate(t.Context(), s.anyRunningHost()))
	require.Equal(t, 1, s.platform.Reclaim(string(s.anyRunningHost()), "", "", time.Minute))
	s.passAfter(r, passInterval)
	require.Equal(t, 4, s.runningByDomain()["all"], "want a replacement only for the host with a notice")
	s.passAfter(r, 250*time.Second)
	require.Positive(t, c.listCalls)
	s.passes(r, 4, s.requireWithinMaxHosts)
	require.Equal(t, 4, s.readyUpstreams("m1"))
}

func TestFailedLookupLeadsToAListing(t *testing.T) {
	s, r, c := settledSiteWithLookups(t)
	c.loseStarts.Store(1)
	require.Equal(t, 1, s.platform.Reclaim(string(s.anyRunningHost()), "", "", time.Minute))
	s.passAfter(r, passInterval)
	require.Equal(t, 1, c.listCalls)
	require.Equal(t, 5, s.runningByDomain()["all"])
}
