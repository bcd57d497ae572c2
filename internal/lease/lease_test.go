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

// manualClock is a clock that tests move.
type manualClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) add(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// duty is a lease that several nodes compete for.
type duty struct {
	clock    *manualClock
	platform *platform.Server
	store    *objects.Client
}

func newDuty(t *testing.T) *duty {
	t.Helper()
	d := &duty{clock: &manualClock{now: time.Now()}, platform: platform.NewServer(platform.Options{Seed: 1})}
	server := httptest.NewServer(d.platform)
	t.Cleanup(server.Close)
	d.store = objects.NewClient(objects.Options{BaseURL: server.URL, Budget: objects.NewBudget(1e6, 1000)})
	t.Cleanup(d.store.Close)
	return d
}

func (d *duty) node(holder ident.Incarnation) *Lease {
	return New(Options{Store: d.store, Name: "capacity", Holder: holder, Clock: d.clock.Now})
}

func (d *duty) lose(verb string) {
	d.platform.AddFault(platform.Fault{Service: platform.ServiceObjects, Kind: platform.FaultLostAnswer, Verb: verb, Calls: 1})
}

// engine is an upstream that takes orders.
type engine struct {
	checksFencing bool
	highest       Fence
	taken         []Fence
}

func (e *engine) order(fence Fence) bool {
	if e.checksFencing && fence < e.highest {
		return false
	}
	e.highest = max(e.highest, fence)
	e.taken = append(e.taken, fence)
	return true
}

func TestLapsedLeaseGoesToAnotherNodeAndThePausedHolderGivesNoOrder(t *testing.T) {
	d := newDuty(t)
	a, b := d.node("a_1"), d.node("b_1")
	ctx := t.Context()
	require.NoError(t, a.Step(ctx))
	fenceA, err := a.Check() // a is paused right behind this check, before its order
	require.NoError(t, err)
	require.NoError(t, b.Step(ctx))
	_, err = b.Check()
	require.ErrorIs(t, err, ErrNotHeld)

	d.clock.add(DefaultTTL)
	_, err = a.Check()
	require.ErrorIs(t, err, ErrNotHeld)
	require.NoError(t, b.Step(ctx))
	_, err = b.Check()
	require.ErrorIs(t, err, ErrNotHeld, "b did not wait for the margin")
	d.clock.add(DefaultTTL / marginShare)
	require.NoError(t, b.Step(ctx))
	fenceB, err := b.Check()
	require.NoError(t, err)
	require.Greater(t, fenceB, fenceA)

	checking := engine{checksFencing: true}
	require.True(t, checking.order(fenceB))
	require.False(t, checking.order(fenceA), "the paused holder's order took effect")
	_, err = b.CheckUnfenced()
	require.ErrorIs(t, err, ErrNotWaitedOut)
	d.clock.add(OrderTimeout)
	require.NoError(t, b.Step(ctx))
	_, err = b.CheckUnfenced()
	require.NoError(t, err)
	require.NoError(t, a.Step(ctx))
	_, err = a.Check()
	require.ErrorIs(t, err, ErrNotHeld)
}

func TestChecksOfTwoNodesNeverPassAtOnce(t *testing.T) {
	d := newDuty(t)
	nodes := []*Lease{d.node("a_1"), d.node("b_1"), d.node("c_1")}
	d.platform.AddFault(platform.Fault{Service: platform.ServiceObjects, Kind: platform.FaultLostAnswer, Probability: 0.3})
	d.platform.AddFault(platform.Fault{Service: platform.ServiceObjects, Kind: platform.FaultStaleRead, Probability: 0.3, Behind: 2})
	d.platform.AddFault(platform.Fault{Service: platform.ServiceObjects, Kind: platform.FaultOutage, Probability: 0.2})
	highest := Fence(0)
	holders := make(map[Fence]int)
	for step := range 600 {
		for i, n := range nodes {
			if (step/50)%4 == i { // each node in turn is paused for a while
				continue
			}
			_ = n.Step(t.Context()) // faults are on
		}
		passing := 0
		for i, n := range nodes {
			fence, err := n.Check()
			if err != nil {
				continue
			}
			passing++
			require.GreaterOrEqual(t, fence, highest, "an older holder came back")
			highest = fence
			if other, known := holders[fence]; known {
				require.Equal(t, other, i, "two nodes with one fencing number")
			}
			holders[fence] = i
		}
		require.LessOrEqual(t, passing, 1)
		d.clock.add(DefaultTTL / renewalsPerTTL)
	}
	require.Greater(t, len(holders), 3, "the lease never went on")
}

func TestAnOnlookerSeesTheHolder(t *testing.T) {
	d := newDuty(t)
	a := d.node("a_1")
	require.NoError(t, a.Step(t.Context()))
	onlooker := d.node("z_1")
	require.Equal(t, ident.Incarnation("a_1"), onlooker.Look(t.Context()).Holder)
	d.platform.AddFault(platform.Fault{Service: platform.ServiceObjects, Kind: platform.FaultOutage})
	require.Equal(t, ident.Incarnation("a_1"), a.Look(t.Context()).Holder, "what was seen last")
	require.Empty(t, onlooker.Look(t.Context()).Holder)
}

func TestReleaseLetsTheNextHolderInAtOnce(t *testing.T) {
	d := newDuty(t)
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

func TestLostAnswersMakeNoLeaseLonger(t *testing.T) {
	d := newDuty(t)
	a := d.node("a_1")
	d.lose("create")
	require.Error(t, a.Step(t.Context()))
	_, err := a.Check()
	require.ErrorIs(t, err, ErrNotHeld)
	require.NoError(t, a.Step(t.Context()))
	fence, err := a.Check()
	require.NoError(t, err)
	require.Equal(t, Fence(2), fence)

	d.clock.add(DefaultTTL / 2)
	d.lose("update")
	require.Error(t, a.Step(t.Context()))
	require.NoError(t, a.Step(t.Context()), "the lost renewal is found")
	d.clock.add(DefaultTTL / 2)
	_, err = a.Check()
	require.ErrorIs(t, err, ErrNotHeld, "a renewal without an answer counted")
	require.NoError(t, a.Step(t.Context()))
	_, err = a.Check()
	require.NoError(t, err)
}

func TestAFewUsableMembersCompeteAndADeadOneIsReplaced(t *testing.T) {
	var members []membership.Member
	for i := range 20 {
		members = append(members, membership.Member{Incarnation: ident.Incarnation(fmt.Sprintf("n%d_1", i))})
	}
	first := candidates(members, "capacity")
	require.Len(t, first, maxCandidates)
	require.NotEqual(t, first, candidates(members, "models"), "all duties fall to the same nodes")
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
