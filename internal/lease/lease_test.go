package lease

import (
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/platform/objects"
	"mangoledge.example/mangoledge/internal/standin/platform"
)

// manualClock is a clock that only the tests advance.
type manualClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// leaseFixture is an object store with a lease that several nodes compete for.
type leaseFixture struct {
	clock    *manualClock
	platform *platform.Server
	store    *objects.Client
}

func newLeaseFixture(t *testing.T) *leaseFixture {
	t.Helper()
	d := &leaseFixture{clock: &manualClock{now: time.Now()}, platform: platform.NewServer(platform.Options{Seed: 1})}
	server := httptest.NewServer(d.platform)
	t.Cleanup(server.Close)
	d.store = objects.NewClient(objects.Options{BaseURL: server.URL, Budget: objects.NewBudget(1e6, 1000)})
	t.Cleanup(d.store.Close)
	return d
}

func (d *leaseFixture) node(holder ident.Incarnation) *Lease {
	return New(Options{Store: d.store, Name: "capacity", Holder: holder, Clock: d.clock.Now})
}

func (d *leaseFixture) loseNextResponse(verb string) {
	d.platform.AddFault(platform.Fault{Service: platform.ServiceObjects, Kind: platform.FaultLostResponse, Verb: verb, Calls: 1})
}

// fakeEngine is an upstream that accepts orders, subject to their fencing numbers if it checks them.
type fakeEngine struct {
	checksFencing bool
	highestFence  Fence
	accepted      []Fence
}

func (e *fakeEngine) acceptOrder(fence Fence) bool {
	if e.checksFencing && fence < e.highestFence {
		return false
	}
	e.highestFence = max(e.highestFence, fence)
	e.accepted = append(e.accepted, fence)
	return true
}

func TestExpiredLeaseIsTakenOverAndPausedHolderSendsNoOrder(t *testing.T) {
	d := newLeaseFixture(t)
	a, b := d.node("a_1"), d.node("b_1")
	ctx := t.Context()
	require.NoError(t, a.Step(ctx))
	fenceA, err := a.Check() // a is paused after this check, before its order
	require.NoError(t, err)
	require.NoError(t, b.Step(ctx))
	_, err = b.Check()
	require.ErrorIs(t, err, ErrNotHeld)

	d.clock.advance(DefaultTTL)
	_, err = a.Check()
	require.ErrorIs(t, err, ErrNotHeld)
	require.NoError(t, b.Step(ctx))
	_, err = b.Check()
	require.ErrorIs(t, err, ErrNotHeld, "b did not wait for the clock margin")
	d.clock.advance(DefaultTTL / clockMarginDivisor)
	require.NoError(t, b.Step(ctx))
	fenceB, err := b.Check()
	require.NoError(t, err)
	require.Greater(t, fenceB, fenceA)

	checking := fakeEngine{checksFencing: true}
	require.True(t, checking.acceptOrder(fenceB))
	require.False(t, checking.acceptOrder(fenceA), "the paused holder's order took effect")
	_, err = b.CheckUnfenced()
	require.ErrorIs(t, err, ErrPreviousOrdersPending)
	d.clock.advance(OrderTimeout)
	require.NoError(t, b.Step(ctx))
	_, err = b.CheckUnfenced()
	require.NoError(t, err)
	require.NoError(t, a.Step(ctx))
	_, err = a.Check()
	require.ErrorIs(t, err, ErrNotHeld)
}

func TestAtMostOneNodePassesCheck(t *testing.T) {
	d := newLeaseFixture(t)
	nodes := []*Lease{d.node("a_1"), d.node("b_1"), d.node("c_1")}
	d.platform.AddFault(platform.Fault{Service: platform.ServiceObjects, Kind: platform.FaultLostResponse, Probability: 0.3})
	d.platform.AddFault(platform.Fault{Service: platform.ServiceObjects, Kind: platform.FaultStaleRead, Probability: 0.3, VersionsBehind: 2})
	d.platform.AddFault(platform.Fault{Service: platform.ServiceObjects, Kind: platform.FaultOutage, Probability: 0.2})
	highest := Fence(0)
	holders := make(map[Fence]int)
	for step := range 600 {
		for i, n := range nodes {
			if (step/50)%4 == i { // each node in turn is paused for 50 steps
				continue
			}
			_ = n.Step(t.Context()) // may fail through the injected faults
		}
		passing := 0
		for i, n := range nodes {
			fence, err := n.Check()
			if err != nil {
				continue
			}
			passing++
			require.GreaterOrEqual(t, fence, highest, "a fencing number decreased")
			highest = fence
			if other, known := holders[fence]; known {
				require.Equal(t, other, i, "two nodes have the same fencing number")
			}
			holders[fence] = i
		}
		require.LessOrEqual(t, passing, 1)
		d.clock.advance(DefaultTTL / renewalsPerTTL)
	}
	require.Greater(t, len(holders), 3, "the lease hardly changed hands")
}

func TestNonCompetingNodeReadsHolder(t *testing.T) {
	d := newLeaseFixture(t)
	a := d.node("a_1")
	require.NoError(t, a.Step(t.Context()))
	reader := d.node("z_1")
	require.Equal(t, ident.Incarnation("a_1"), reader.Look(t.Context()).Holder)
	d.platform.AddFault(platform.Fault{Service: platform.ServiceObjects, Kind: platform.FaultOutage})
	require.Equal(t, ident.Incarnation("a_1"), a.Look(t.Context()).Holder, "the record seen last is returned during an outage")
	require.Empty(t, reader.Look(t.Context()).Holder)
}

func TestReleasedLeaseIsAvailableImmediately(t *testing.T) {
	d := newLeaseFixture(t)
	a, b := d.node("a_1"), d.node("b_1")
	require.NoError(t, a.Step(t.Context()))
	require.NoError(t, a.Release(t.Context()))
	_, err := a.Check()
	require.ErrorIs(t, err, ErrNotHeld)
	require.NoError(t, b.Step(t.Context()))
	fence, err := b.CheckUnfenced()
	require.NoError(t, err)
	require.Equal(t, Fence(2), fence)
}

func TestLostResponsesDoNotExtendLease(t *testing.T) {
	d := newLeaseFixture(t)
	a := d.node("a_1")
	d.loseNextResponse("create")
	require.Error(t, a.Step(t.Context()))
	_, err := a.Check()
	require.ErrorIs(t, err, ErrNotHeld)
	require.NoError(t, a.Step(t.Context()))
	fence, err := a.Check()
	require.NoError(t, err)
	require.Equal(t, Fence(2), fence)

	d.clock.advance(DefaultTTL / 2)
	d.loseNextResponse("update")
	require.Error(t, a.Step(t.Context()))
	require.NoError(t, a.Step(t.Context()), "the renewal whose response was lost is recognised")
	d.clock.advance(DefaultTTL / 2)
	_, err = a.Check()
	require.ErrorIs(t, err, ErrNotHeld, "a renewal without a response extended the lease")
	require.NoError(t, a.Step(t.Context()))
	_, err = a.Check()
	require.NoError(t, err)
}

func TestCandidatesAreFewUsableMembersAndDeadOneIsReplaced(t *testing.T) {
	var members []membership.Member
	for i := range 20 {
		members = append(members, membership.Member{Incarnation: ident.Incarnation(fmt.Sprintf("n%d_1", i))})
	}
	first := candidates(members, "capacity")
	require.Len(t, first, maxCandidates)
	require.NotEqual(t, first, candidates(members, "models"), "different duties have the same candidates")
	for i := range members {
		if members[i].Incarnation == first[0] {
			members[i].State = membership.StateDead
		}
	}
	second := candidates(members, "capacity")
	require.Len(t, second, maxCandidates)
	require.NotContains(t, second, first[0])
	require.Equal(t, first[1:], second[:2])
}
