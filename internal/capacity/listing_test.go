package capacity

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/cloud"
	"mangoledge.example/mangoledge/internal/standin/platform"
)

var errResponseLost = errors.New("the response was lost")

// countingCloud counts calls; it can lose responses, in which case the call has taken effect.
type countingCloud struct {
	cloud.API
	listCalls int
	// startCalls counts the starts, including the repeated ones that look up a host.
	startCalls atomic.Int64
	// failLists makes listing the hosts fail.
	failLists bool
	// loseStarts and loseTerminates are how many more responses are to be lost.
	loseStarts, loseTerminates atomic.Int64
}

func (c *countingCloud) Hosts(ctx context.Context) ([]cloud.Host, error) {
	if c.failLists {
		return nil, errResponseLost
	}
	c.listCalls++
	return c.API.Hosts(ctx)
}

func (c *countingCloud) Start(ctx context.Context, start cloud.Start) (cloud.Host, error) {
	c.startCalls.Add(1)
	host, err := c.API.Start(ctx, start)
	if c.loseStarts.Add(-1) >= 0 {
		return cloud.Host{}, errResponseLost
	}
	return host, err
}

func (c *countingCloud) Terminate(ctx context.Context, host ident.Host) error {
	err := c.API.Terminate(ctx, host)
	if c.loseTerminates.Add(-1) >= 0 {
		return errResponseLost
	}
	return err
}

// countCalls makes a holder call the cloud through a countingCloud.
func countCalls(s *testSite, r *Reconciler) *countingCloud {
	c := &countingCloud{API: s.cloud}
	r.options.Cloud = c
	return c
}

// settledSite returns a site whose four replicas are ready and where no operation is in progress.
func settledSite(t *testing.T) (*testSite, *Reconciler, *countingCloud) {
	t.Helper()
	return settledSiteWith(t, false)
}

func settledSiteWith(t *testing.T, lookups bool) (*testSite, *Reconciler, *countingCloud) {
	t.Helper()
	s := newTestSite(t)
	s.lookups = lookups
	r := s.newHolder(&crashPoint{})
	c := countCalls(s, r)
	s.passes(r, 8, s.requireWithinMaxHosts)
	require.Equal(t, 4, s.readyUpstreams("m1"))
	s.now = s.now.Add(minListInterval)
	require.NoError(t, r.Pass(t.Context()))
	c.listCalls = 0
	c.startCalls.Store(0)
	return s, r, c
}

// passAfter advances the clock and then runs one pass.
func (s *testSite) passAfter(r *Reconciler, after time.Duration) {
	s.t.Helper()
	s.now = s.now.Add(after)
	require.NoError(s.t, r.Pass(s.t.Context()))
	s.requireWithinMaxHosts()
}

// anyRunningHost returns a running host.
func (s *testSite) anyRunningHost() ident.Host {
	for _, line := range s.platform.Bill() {
		if line.Host.State == platform.HostRunning {
			return ident.Host(line.Host.ID)
		}
	}
	s.t.Fatal("no host is running")
	return ""
}

func TestIdleHolderListsHostsOnlyPeriodically(t *testing.T) {
	s, r, c := settledSite(t)
	passes := int(minListInterval / passInterval)
	for range passes - 1 {
		s.passAfter(r, passInterval)
	}
	require.Zero(t, c.listCalls, "hosts were listed although nothing happened")
	s.passAfter(r, passInterval)
	require.Equal(t, 1, c.listCalls)
}

func TestListIntervalGrowsWithHostCount(t *testing.T) {
	few, many := hostListing{hosts: make([]cloud.Host, 10)}, hostListing{hosts: make([]cloud.Host, 11_000)}
	require.Equal(t, minListInterval, few.interval())
	require.Equal(t, 275*time.Second, many.interval())
	many.afterMark = true
	require.Equal(t, minListInterval, many.interval(), "want the shortest interval after a mark, since the cloud may show the state of a marked host late")
}

func TestHostLostWithoutNoticeIsReplacedAtNextPeriodicListing(t *testing.T) {
	s, r, c := settledSite(t)
	require.NoError(t, s.cloud.Terminate(t.Context(), s.anyRunningHost()))
	s.passAfter(r, passInterval)
	require.Zero(t, c.listCalls)
	require.Equal(t, 3, s.runningByDomain()["all"])
	s.passAfter(r, minListInterval)
	require.Equal(t, 4, s.runningByDomain()["all"])
	s.passes(r, 3, s.requireWithinMaxHosts)
	require.Equal(t, 4, s.readyUpstreams("m1"))
	require.Len(t, s.platform.Bill(), 5)
}

func TestMarkLeadsToListingAtOnceAndAgainLater(t *testing.T) {
	s, r, c := settledSite(t)
	require.Equal(t, 1, s.platform.Reclaim(string(s.anyRunningHost()), "", "", time.Minute))
	s.passAfter(r, passInterval)
	require.Positive(t, c.listCalls)
	require.Equal(t, 5, s.runningByDomain()["all"], "no replacement was started")

	s, r, c = settledSite(t)
	s.markChanges++ // a mark made from the host list, before the cloud shows any change
	s.passAfter(r, passInterval)
	require.Equal(t, 1, c.listCalls)
	require.NoError(t, s.cloud.Terminate(t.Context(), s.anyRunningHost()))
	s.passAfter(r, minListInterval)
	require.Equal(t, 4, s.runningByDomain()["all"])
}

func TestConfigurationChangeUsesNewListing(t *testing.T) {
	s, r, c := settledSite(t)
	require.NoError(t, s.cloud.Terminate(t.Context(), s.anyRunningHost()))
	s.site.Models[0].Replicas = 5
	s.passAfter(r, passInterval)
	require.Positive(t, c.listCalls)
	require.Equal(t, 5, s.runningByDomain()["all"], "want the additional host and the replacement of the vanished one")

	s, r, c = settledSite(t)
	s.site.Models[0].Adapters = []ident.Adapter{"a1"}
	s.passAfter(r, passInterval)
	require.Positive(t, c.listCalls, "a load was ordered from an old listing")
}

func TestNewFencingNumberLeadsToListing(t *testing.T) {
	s, r, c := settledSite(t)
	require.NoError(t, s.cloud.Terminate(t.Context(), s.anyRunningHost()))
	r.options.Lease = heldWithFence(2)
	s.passAfter(r, passInterval)
	require.Positive(t, c.listCalls)
	require.Equal(t, 4, s.runningByDomain()["all"])
}

func TestDrainingHostNeedsNoListingUntilTerminated(t *testing.T) {
	s, r, c := settledSite(t)
	engines := newBusyEngines()
	r.options.Engines = engines
	for _, u := range s.registry.Upstreams() {
		engines.setBusy(u.URL[len("http://"):], true)
	}
	s.site.Models[0].Replicas = 3
	s.passAfter(r, passInterval)
	c.listCalls = 0
	s.passAfter(r, passInterval)
	s.passAfter(r, minDrain)
	require.Zero(t, c.listCalls)
	require.Equal(t, 4, s.runningByDomain()["all"], "a host was terminated with work in progress")
	for _, u := range s.registry.Upstreams() {
		engines.setBusy(u.URL[len("http://"):], false)
	}
	s.passAfter(r, passInterval)
	require.Equal(t, 3, s.runningByDomain()["all"])
	s.passAfter(r, passInterval)
	require.Equal(t, 1, c.listCalls, "want one listing, which shows the termination")
	require.Len(t, s.registry.Upstreams(), 3)
}

func TestLostResponsesStartNoHostTwiceAndForgetNone(t *testing.T) {
	withAndWithoutLookups(t, lostResponsesStartNoHostTwiceAndForgetNone)
}

func lostResponsesStartNoHostTwiceAndForgetNone(t *testing.T, lookups bool) {
	s := newTestSite(t)
	s.lookups = lookups
	r := s.newHolder(&crashPoint{})
	c := countCalls(s, r)
	c.loseStarts.Store(6)
	c.loseTerminates.Store(2)
	s.passes(r, 8, s.requireWithinMaxHosts)
	require.Equal(t, 4, s.readyUpstreams("m1"))
	require.Len(t, s.platform.Bill(), 4)
	s.site.Models[0].Replicas = 1
	s.passes(r, 8, s.requireWithinMaxHosts)
	require.Equal(t, 1, s.runningByDomain()["all"])
	require.Equal(t, 1, s.readyUpstreams("m1"))
	require.Len(t, s.platform.Bill(), 4)
	require.Len(t, s.registry.Upstreams(), 1)
}

func TestNothingChangesWhileListingFails(t *testing.T) {
	s, r, c := settledSite(t)
	c.failLists = true
	s.site.Models[0].Replicas = 2
	for range 5 {
		s.now = s.now.Add(minDrain)
		require.ErrorIs(t, r.Pass(t.Context()), errResponseLost)
	}
	require.Equal(t, 4, s.readyUpstreams("m1"))
	require.Len(t, s.platform.Bill(), 4)
	c.failLists = false
	s.passes(r, 4, s.requireWithinMaxHosts)
	require.Equal(t, 2, s.runningByDomain()["all"])
}
