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
	b, r, c := settledSiteWith(t, true)
	r.lastListing.afterMark = false
	for n := range 10_000 {
		ended := cloud.Host{ID: ident.Host(fmt.Sprintf("e%d", n)), ClientToken: fmt.Sprintf("ended-%d", n), State: cloud.StateTerminated}
		r.lastListing.hosts = append(r.lastListing.hosts, ended)
	}
	return b, r, c
}

// addMark adds a mark that does not come from a reclaim notice.
func (b *testSite) addMark(subject fleet.Subject) {
	b.extraMarks = append(b.extraMarks, fleet.Mark{Subject: subject, At: b.now})
	b.markChanges++
}

func TestReclaimNoticeAtLargeSiteNeedsNoListing(t *testing.T) {
	b, r, c := settledSiteWithLookups(t)
	require.Equal(t, 1, b.platform.Reclaim(string(b.anyRunningHost()), "", "", time.Minute))
	b.passAfter(r, passInterval)
	require.Equal(t, 5, b.runningByDomain()["all"], "a replacement is being started")
	for range 15 {
		b.passAfter(r, passInterval)
	}
	require.Equal(t, 4, b.runningByDomain()["all"], "the host was drained and terminated")
	require.Equal(t, 4, b.readyUpstreams("m1"))
	require.Len(t, b.registry.Upstreams(), 4)
	require.Len(t, b.platform.Bill(), 5)
	require.Zero(t, c.listCalls)
	// The lookup after the mark, the start, the lookup before the load, and the lookup after the
	// termination; the recheck of the mark finds no intent any more.
	require.EqualValues(t, 4, c.startCalls.Load())
}

func TestMarkedHostIsRecheckedAtLargeSite(t *testing.T) {
	for _, upstream := range []bool{false, true} {
		b, r, c := settledSiteWithLookups(t)
		host := b.anyRunningHost()
		subject := fleet.Subject{Host: host}
		if upstream {
			subject = fleet.Subject{Upstream: upstreamID(host)}
		}
		b.addMark(subject)
		b.passAfter(r, passInterval)
		require.EqualValues(t, 1, c.startCalls.Load())
		require.Equal(t, 4, b.runningByDomain()["all"])
		require.NoError(t, b.cloud.Terminate(t.Context(), host))
		b.passAfter(r, markRecheckDelay-passInterval)
		require.EqualValues(t, 1, c.startCalls.Load(), "it was looked up again too early")
		b.passAfter(r, passInterval)
		require.Equal(t, 4, b.runningByDomain()["all"], "the termination of the host was not noticed")
		require.Zero(t, c.listCalls)
	}
}

func TestMarkOfUnmanagedHostIsIgnored(t *testing.T) {
	b, r, c := settledSiteWithLookups(t)
	b.addMark(fleet.Subject{Host: "an entry host"})
	b.passAfter(r, passInterval)
	require.Zero(t, c.listCalls)
	require.Zero(t, c.startCalls.Load())
}

func TestManyMarksLeadToAListing(t *testing.T) {
	b, r, c := settledSiteWith(t, true)
	b.site.Models[0].Replicas = maxHostLookups + 1
	b.passes(r, 8, b.requireWithinMaxHosts)
	require.Equal(t, maxHostLookups+1, b.readyUpstreams("m1"))
	c.listCalls = 0
	require.Equal(t, maxHostLookups+1, b.platform.Reclaim("", "", "", time.Minute))
	b.passAfter(r, passInterval)
	require.Positive(t, c.listCalls)
}

func TestHostIsLookedUpBeforeLoad(t *testing.T) {
	b, r, c := settledSiteWithLookups(t)
	ended := b.anyRunningHost()
	require.NoError(t, b.cloud.Terminate(t.Context(), ended))
	b.site.Models[0].Adapters = []ident.Adapter{"a1"}
	b.passAfter(r, passInterval)
	require.EqualValues(t, 5, c.startCalls.Load(), "four lookups before loads, and the start of a replacement")
	require.Equal(t, 4, b.runningByDomain()["all"])
	for _, u := range b.registry.Upstreams() {
		require.NotEqual(t, ended, u.Host, "a load was ordered on a terminated host")
	}
}

func TestTerminationIsLookedUpAtLargeSite(t *testing.T) {
	b, r, c := settledSiteWithLookups(t)
	b.site.Models[0].Replicas = 3
	b.passAfter(r, passInterval)
	require.Positive(t, c.listCalls, "a configuration change was applied without a new listing")
	c.listCalls = 0
	c.loseTerminates.Store(1)
	b.passAfter(r, minDrain)
	require.Equal(t, 3, b.runningByDomain()["all"])
	b.passAfter(r, passInterval)
	require.Len(t, b.registry.Upstreams(), 3)
	require.EqualValues(t, 1, c.startCalls.Load())
	require.Zero(t, c.listCalls)
}

func TestVanishedHostIsReplacedAtNextPeriodicListingOfLargeSite(t *testing.T) {
	b, r, c := settledSiteWithLookups(t)
	require.NoError(t, b.cloud.Terminate(t.Context(), b.anyRunningHost()))
	require.Equal(t, 1, b.platform.Reclaim(string(b.anyRunningHost()), "", "", time.Minute))
	b.passAfter(r, passInterval)
	require.Equal(t, 4, b.runningByDomain()["all"], "only the loss of the host with a notice is known")
	b.passAfter(r, 250*time.Second)
	require.Positive(t, c.listCalls)
	b.passes(r, 4, b.requireWithinMaxHosts)
	require.Equal(t, 4, b.readyUpstreams("m1"))
}

func TestFailedLookupLeadsToAListing(t *testing.T) {
	b, r, c := settledSiteWithLookups(t)
	c.loseStarts.Store(1)
	require.Equal(t, 1, b.platform.Reclaim(string(b.anyRunningHost()), "", "", time.Minute))
	b.passAfter(r, passInterval)
	require.Equal(t, 1, c.listCalls)
	require.Equal(t, 5, b.runningByDomain()["all"])
}
