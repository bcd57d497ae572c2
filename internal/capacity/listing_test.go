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

var errNoAnswer = errors.New("the response was lost")

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
		return nil, errNoAnswer
	}
	c.listCalls++
	return c.API.Hosts(ctx)
}

func (c *countingCloud) Start(ctx context.Context, start cloud.Start) (cloud.Host, error) {
	c.startCalls.Add(1)
	host, err := c.API.Start(ctx, start)
	if c.loseStarts.Add(-1) >= 0 {
		return cloud.Host{}, errNoAnswer
	}
	return host, err
}

func (c *countingCloud) Terminate(ctx context.Context, host ident.Host) error {
	err := c.API.Terminate(ctx, host)
	if c.loseTerminates.Add(-1) >= 0 {
		return errNoAnswer
	}
	return err
}

// countCalls makes a holder call the cloud through a countingCloud.
func countCalls(b *testSite, r *Reconciler) *countingCloud {
	c := &countingCloud{API: b.cloud}
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
	b := newTestSite(t)
	b.lookups = lookups
	r := b.newHolder(&crashPoint{})
	c := countCalls(b, r)
	b.passes(r, 8, b.requireWithinMaxHosts)
	require.Equal(t, 4, b.readyUpstreams("m1"))
	b.now = b.now.Add(minListInterval)
	require.NoError(t, r.Pass(t.Context()))
	c.listCalls = 0
	c.startCalls.Store(0)
	return b, r, c
}

// passAfter advances the clock and then runs one pass.
func (b *testSite) passAfter(r *Reconciler, after time.Duration) {
	b.t.Helper()
	b.now = b.now.Add(after)
	require.NoError(b.t, r.Pass(b.t.Context()))
	b.requireWithinMaxHosts()
}

// anyRunningHost returns a running host.
func (b *testSite) anyRunningHost() ident.Host {
	for _, line := range b.platform.Bill() {
		if line.Host.State == platform.HostRunning {
			return ident.Host(line.Host.ID)
		}
	}
	b.t.Fatal("no host is running")
	return ""
}

func TestIdleHolderListsHostsOnlyPeriodically(t *testing.T) {
	b, r, c := settledSite(t)
	passes := int(minListInterval / passInterval)
	for range passes - 1 {
		b.passAfter(r, passInterval)
	}
	require.Zero(t, c.listCalls, "hosts were listed although nothing happened")
	b.passAfter(r, passInterval)
	require.Equal(t, 1, c.listCalls)
}

func TestListIntervalGrowsWithHostCount(t *testing.T) {
	few, many := hostListing{hosts: make([]cloud.Host, 10)}, hostListing{hosts: make([]cloud.Host, 11_000)}
	require.Equal(t, minListInterval, few.interval())
	require.Equal(t, 275*time.Second, many.interval())
	many.afterMark = true
	require.Equal(t, minListInterval, many.interval(), "the cloud may show the state of a marked host late")
}

func TestHostLostWithoutNoticeIsReplacedAtNextPeriodicListing(t *testing.T) {
	b, r, c := settledSite(t)
	require.NoError(t, b.cloud.Terminate(t.Context(), b.anyRunningHost()))
	b.passAfter(r, passInterval)
	require.Zero(t, c.listCalls)
	require.Equal(t, 3, b.runningByDomain()["all"])
	b.passAfter(r, minListInterval)
	require.Equal(t, 4, b.runningByDomain()["all"])
	b.passes(r, 3, b.requireWithinMaxHosts)
	require.Equal(t, 4, b.readyUpstreams("m1"))
	require.Len(t, b.platform.Bill(), 5)
}

func TestMarkLeadsToListingAtOnceAndAgainLater(t *testing.T) {
	b, r, c := settledSite(t)
	require.Equal(t, 1, b.platform.Reclaim(string(b.anyRunningHost()), "", "", time.Minute))
	b.passAfter(r, passInterval)
	require.Positive(t, c.listCalls)
	require.Equal(t, 5, b.runningByDomain()["all"], "a replacement is being started")

	b, r, c = settledSite(t)
	b.markChanges++ // a mark made from the host list, before the cloud shows any change
	b.passAfter(r, passInterval)
	require.Equal(t, 1, c.listCalls)
	require.NoError(t, b.cloud.Terminate(t.Context(), b.anyRunningHost()))
	b.passAfter(r, minListInterval)
	require.Equal(t, 4, b.runningByDomain()["all"])
}

func TestConfigurationChangeUsesNewListing(t *testing.T) {
	b, r, c := settledSite(t)
	require.NoError(t, b.cloud.Terminate(t.Context(), b.anyRunningHost()))
	b.site.Models[0].Replicas = 5
	b.passAfter(r, passInterval)
	require.Positive(t, c.listCalls)
	require.Equal(t, 5, b.runningByDomain()["all"], "the additional host and the replacement of the vanished one")

	b, r, c = settledSite(t)
	b.site.Models[0].Adapters = []ident.Adapter{"a1"}
	b.passAfter(r, passInterval)
	require.Positive(t, c.listCalls, "a load was ordered from an old listing")
}

func TestNewFencingNumberLeadsToListing(t *testing.T) {
	b, r, c := settledSite(t)
	require.NoError(t, b.cloud.Terminate(t.Context(), b.anyRunningHost()))
	r.options.Lease = heldWithFence(2)
	b.passAfter(r, passInterval)
	require.Positive(t, c.listCalls)
	require.Equal(t, 4, b.runningByDomain()["all"])
}

func TestDrainingHostNeedsNoListingUntilTerminated(t *testing.T) {
	b, r, c := settledSite(t)
	engines := newBusyEngines()
	r.options.Engines = engines
	for _, u := range b.registry.Upstreams() {
		engines.setBusy(u.URL[len("http://"):], true)
	}
	b.site.Models[0].Replicas = 3
	b.passAfter(r, passInterval)
	c.listCalls = 0
	b.passAfter(r, passInterval)
	b.passAfter(r, minDrain)
	require.Zero(t, c.listCalls)
	require.Equal(t, 4, b.runningByDomain()["all"], "a host was terminated with work in progress")
	for _, u := range b.registry.Upstreams() {
		engines.setBusy(u.URL[len("http://"):], false)
	}
	b.passAfter(r, passInterval)
	require.Equal(t, 3, b.runningByDomain()["all"])
	b.passAfter(r, passInterval)
	require.Equal(t, 1, c.listCalls, "the listing shows the termination")
	require.Len(t, b.registry.Upstreams(), 3)
}

func TestLostResponsesStartNoHostTwiceAndForgetNone(t *testing.T) {
	withAndWithoutLookups(t, lostResponsesStartNoHostTwiceAndForgetNone)
}

func lostResponsesStartNoHostTwiceAndForgetNone(t *testing.T, lookups bool) {
	b := newTestSite(t)
	b.lookups = lookups
	r := b.newHolder(&crashPoint{})
	c := countCalls(b, r)
	c.loseStarts.Store(6)
	c.loseTerminates.Store(2)
	b.passes(r, 8, b.requireWithinMaxHosts)
	require.Equal(t, 4, b.readyUpstreams("m1"))
	require.Len(t, b.platform.Bill(), 4)
	b.site.Models[0].Replicas = 1
	b.passes(r, 8, b.requireWithinMaxHosts)
	require.Equal(t, 1, b.runningByDomain()["all"])
	require.Equal(t, 1, b.readyUpstreams("m1"))
	require.Len(t, b.platform.Bill(), 4)
	require.Len(t, b.registry.Upstreams(), 1)
}

func TestNothingChangesWhileListingFails(t *testing.T) {
	b, r, c := settledSite(t)
	c.failLists = true
	b.site.Models[0].Replicas = 2
	for range 5 {
		b.now = b.now.Add(minDrain)
		require.ErrorIs(t, r.Pass(t.Context()), errNoAnswer)
	}
	require.Equal(t, 4, b.readyUpstreams("m1"))
	require.Len(t, b.platform.Bill(), 4)
	c.failLists = false
	b.passes(r, 4, b.requireWithinMaxHosts)
	require.Equal(t, 2, b.runningByDomain()["all"])
}
