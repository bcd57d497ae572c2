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

var errNoAnswer = errors.New("the answer was lost")

// countingCloud counts the lists of hosts; it may lose answers, whose calls take effect.
type countingCloud struct {
	cloud.API
	lists int
	// asked counts the starts and questions.
	asked atomic.Int64
	// refuseLists lets no list be read.
	refuseLists bool
	// loseStarts and loseEnds are how many answers are still lost.
	loseStarts, loseEnds atomic.Int64
}

func (c *countingCloud) Hosts(ctx context.Context) ([]cloud.Host, error) {
	if c.refuseLists {
		return nil, errNoAnswer
	}
	c.lists++
	return c.API.Hosts(ctx)
}

func (c *countingCloud) Start(ctx context.Context, start cloud.Start) (cloud.Host, error) {
	c.asked.Add(1)
	host, err := c.API.Start(ctx, start)
	if c.loseStarts.Add(-1) >= 0 {
		return cloud.Host{}, errNoAnswer
	}
	return host, err
}

func (c *countingCloud) Terminate(ctx context.Context, host ident.Host) error {
	err := c.API.Terminate(ctx, host)
	if c.loseEnds.Add(-1) >= 0 {
		return errNoAnswer
	}
	return err
}

// counted lets a holder's cloud be counted.
func counted(b *bench, r *Reconciler) *countingCloud {
	c := &countingCloud{API: b.cloud}
	r.options.Cloud = c
	return c
}

// settled is a site whose four replicas run, of which nothing is waited for.
func settled(t *testing.T) (*bench, *Reconciler, *countingCloud) {
	t.Helper()
	return settledWith(t, false)
}

func settledWith(t *testing.T, asks bool) (*bench, *Reconciler, *countingCloud) {
	t.Helper()
	b := newBench(t)
	b.asks = asks
	r := b.process(&plug{})
	c := counted(b, r)
	b.passes(r, 8, b.withinBudget)
	require.Equal(t, 4, b.ready("m1"))
	b.now = b.now.Add(minListInterval)
	require.NoError(t, r.Pass(t.Context()))
	c.lists = 0
	c.asked.Store(0)
	return b, r, c
}

// pass lets the holder pass once, some time after what was before.
func (b *bench) pass(r *Reconciler, after time.Duration) {
	b.t.Helper()
	b.now = b.now.Add(after)
	require.NoError(b.t, r.Pass(b.t.Context()))
	b.withinBudget()
}

// running1 returns a host that runs.
func (b *bench) running1() ident.Host {
	for _, line := range b.platform.Bill() {
		if line.Host.State == platform.HostRunning {
			return ident.Host(line.Host.ID)
		}
	}
	b.t.Fatal("no host runs")
	return ""
}

func TestQuietHolderListsHostsAtTheIntervalOnly(t *testing.T) {
	b, r, c := settled(t)
	passes := int(minListInterval / passInterval)
	for range passes - 1 {
		b.pass(r, passInterval)
	}
	require.Zero(t, c.lists, "hosts were listed though nothing happened")
	b.pass(r, passInterval)
	require.Equal(t, 1, c.lists)
}

func TestIntervalGrowsWithTheHosts(t *testing.T) {
	few, many := listing{hosts: make([]cloud.Host, 10)}, listing{hosts: make([]cloud.Host, 11_000)}
	require.Equal(t, minListInterval, few.interval())
	require.Equal(t, 275*time.Second, many.interval())
	many.afterMark = true
	require.Equal(t, minListInterval, many.interval(), "the platform may show a marked host late")
}

func TestHostThatVanishedWithoutANoticeIsReplacedAtTheInterval(t *testing.T) {
	b, r, c := settled(t)
	require.NoError(t, b.cloud.Terminate(t.Context(), b.running1()))
	b.pass(r, passInterval)
	require.Zero(t, c.lists)
	require.Equal(t, 3, b.running()["all"])
	b.pass(r, minListInterval)
	require.Equal(t, 4, b.running()["all"])
	b.passes(r, 3, b.withinBudget)
	require.Equal(t, 4, b.ready("m1"))
	require.Len(t, b.platform.Bill(), 5)
}

func TestMarkIsFollowedAtOnceAndOnceMore(t *testing.T) {
	b, r, c := settled(t)
	require.Equal(t, 1, b.platform.Reclaim(string(b.running1()), "", "", time.Minute))
	b.pass(r, passInterval)
	require.Positive(t, c.lists)
	require.Equal(t, 5, b.running()["all"], "the next host is on its way")

	b, r, c = settled(t)
	b.noticed++ // a mark by the host list, before the cloud shows anything
	b.pass(r, passInterval)
	require.Equal(t, 1, c.lists)
	require.NoError(t, b.cloud.Terminate(t.Context(), b.running1()))
	b.pass(r, minListInterval)
	require.Equal(t, 4, b.running()["all"])
}

func TestChangeOfConfigurationIsCarriedOutByAFreshList(t *testing.T) {
	b, r, c := settled(t)
	require.NoError(t, b.cloud.Terminate(t.Context(), b.running1()))
	b.site.Models[0].Replicas = 5
	b.pass(r, passInterval)
	require.Positive(t, c.lists)
	require.Equal(t, 5, b.running()["all"], "both the new host and the one that vanished")

	b, r, c = settled(t)
	b.site.Models[0].Adapters = []ident.Adapter{"a1"}
	b.pass(r, passInterval)
	require.Positive(t, c.lists, "a load was ordered by an old list")
}

func TestNewTermOfTheLeaseListsAtOnce(t *testing.T) {
	b, r, c := settled(t)
	require.NoError(t, b.cloud.Terminate(t.Context(), b.running1()))
	r.options.Lease = heldUnder(2)
	b.pass(r, passInterval)
	require.Positive(t, c.lists)
	require.Equal(t, 4, b.running()["all"])
}

func TestDrainingHostNeedsNoListsUntilItIsEnded(t *testing.T) {
	b, r, c := settled(t)
	engines := newBusyEngines()
	r.options.Engines = engines
	for _, u := range b.registry.Upstreams() {
		engines.setBusy(u.URL[len("http://"):], true)
	}
	b.site.Models[0].Replicas = 3
	b.pass(r, passInterval)
	c.lists = 0
	b.pass(r, passInterval)
	b.pass(r, minDrain)
	require.Zero(t, c.lists)
	require.Equal(t, 4, b.running()["all"], "a host was ended with its work in progress")
	for _, u := range b.registry.Upstreams() {
		engines.setBusy(u.URL[len("http://"):], false)
	}
	b.pass(r, passInterval)
	require.Equal(t, 3, b.running()["all"])
	b.pass(r, passInterval)
	require.Equal(t, 1, c.lists, "its end is looked up")
	require.Len(t, b.registry.Upstreams(), 3)
}

func TestLostAnswersStartNoHostTwiceAndForgetNone(t *testing.T) {
	listingAndAsking(t, lostAnswers)
}

func lostAnswers(t *testing.T, asks bool) {
	b := newBench(t)
	b.asks = asks
	r := b.process(&plug{})
	c := counted(b, r)
	c.loseStarts.Store(6)
	c.loseEnds.Store(2)
	b.passes(r, 8, b.withinBudget)
	require.Equal(t, 4, b.ready("m1"))
	require.Len(t, b.platform.Bill(), 4)
	b.site.Models[0].Replicas = 1
	b.passes(r, 8, b.withinBudget)
	require.Equal(t, 1, b.running()["all"])
	require.Equal(t, 1, b.ready("m1"))
	require.Len(t, b.platform.Bill(), 4)
	require.Len(t, b.registry.Upstreams(), 1)
}

func TestNothingIsChangedWhileHostsCannotBeListed(t *testing.T) {
	b, r, c := settled(t)
	c.refuseLists = true
	b.site.Models[0].Replicas = 2
	for range 5 {
		b.now = b.now.Add(minDrain)
		require.ErrorIs(t, r.Pass(t.Context()), errNoAnswer)
	}
	require.Equal(t, 4, b.ready("m1"))
	require.Len(t, b.platform.Bill(), 4)
	c.refuseLists = false
	b.passes(r, 4, b.withinBudget)
	require.Equal(t, 2, b.running()["all"])
}
