package placement

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/owner"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/routing"
	"mangoledge.example/mangoledge/internal/standin/members"
)

// renewStep is the time between two calls of Renew in these tests.
const renewStep = owner.DefaultReservationTTL / 4

// fixedFleet is a list of upstreams that never changes.
type fixedFleet []fleet.Upstream

func (f fixedFleet) Upstreams() []fleet.Upstream { return f }

// ownerCaller passes calls to the service of one owner directly, without a network.
type ownerCaller struct {
	service     *owner.Service
	unreachable bool
	renewals    int
}

func (c *ownerCaller) Call(_ context.Context, _, method string, args, reply any) error {
	if c.unreachable {
		return errors.New("unreachable")
	}
	switch method {
	case owner.MethodReserve:
		return c.service.Reserve(args.(*owner.ReserveArgs), reply.(*owner.ReserveReply))
	case owner.MethodRelease:
		return c.service.Release(args.(*owner.ReleaseArgs), reply.(*owner.ReleaseReply))
	case owner.MethodRenew:
		c.renewals++
		return c.service.Renew(args.(*owner.RenewArgs), reply.(*owner.RenewReply))
	}
	return errors.Newf("no method %s", method)
}

// renewFixture is a router whose only upstream is owned by another node.
type renewFixture struct {
	router *Router
	ledger *owner.Ledger
	calls  *ownerCaller
	now    time.Time
}

func newRenewFixture() *renewFixture {
	list := []membership.Member{
		{Incarnation: "n1_0", Node: "n1", Region: "r", FailureDomain: "d1", PeerAddress: "n1"},
		{Incarnation: "n2_0", Node: "n2", Region: "r", FailureDomain: "d2", PeerAddress: "n2"},
	}
	upstreams := fixedFleet{{ID: "u", Region: "r", FailureDomain: "d2", Models: []ident.Model{"m"}, Slots: 1, State: fleet.StateReady}}
	s := &renewFixture{now: time.Now()}
	s.ledger = owner.NewLedger("n2", "d2", routing.LeastOutstanding{}, 0, rand.New(rand.NewPCG(1, 2)))
	s.ledger.Update(s.now, upstreams, list)
	s.calls = &ownerCaller{service: owner.NewService(s.ledger, func() time.Time { return s.now })}
	s.router = NewRouter(Options{
		Members: members.NewView(list, 0), Fleet: upstreams, UnmarkedFleet: upstreams, LeavingRevision: func() uint64 { return 0 },
		Calls: s.calls, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), Policy: routing.LeastOutstanding{},
	})
	s.router.Update(s.now)
	return s
}

// pick reserves the slot for a request whose deadline is 1 s away.
func (s *renewFixture) pick(t *testing.T) dispatch.Placement {
	t.Helper()
	spec := &request.Spec{Model: "m", MaxTokens: 10, Deadline: time.Now().Add(time.Second)}
	placement, err := s.router.Pick(t.Context(), &dispatch.PlacementRequest{Spec: spec})
	require.NoError(t, err)
	require.Equal(t, 1, s.inFlight())
	return placement
}

// inFlight returns the number of requests that the owner counts.
func (s *renewFixture) inFlight() int {
	return int(s.ledger.Summaries(s.now)[0].InFlight)
}

func TestSlotIsHeldWhileRequestRuns(t *testing.T) {
	s := newRenewFixture()
	placement := s.pick(t)
	for range 20 {
		s.now = s.now.Add(renewStep)
		s.router.Renew(t.Context(), s.now)
		require.Equal(t, 1, s.inFlight(), "the request still runs after its deadline")
	}
	placement.Release(dispatch.OutcomeDone, 0)
	require.Eventually(t, func() bool { return s.ledger.ReservationCount() == 0 }, 10*time.Second, time.Millisecond)
	renewals := s.calls.renewals
	s.now = s.now.Add(owner.DefaultReservationTTL)
	s.router.Renew(t.Context(), s.now)
	require.Equal(t, renewals, s.calls.renewals, "a released slot is not renewed")
}

func TestSlotExpiresWithoutRenewal(t *testing.T) {
	s := newRenewFixture()
	s.pick(t)
	s.now = s.now.Add(owner.DefaultReservationTTL + time.Second)
	require.Zero(t, s.inFlight())
	s.router.Renew(t.Context(), s.now)
	require.Empty(t, s.router.held.renewedBefore(s.now.Add(time.Hour)), "a slot that the owner does not know is not renewed again")
}

func TestFailedRenewalIsRetried(t *testing.T) {
	s := newRenewFixture()
	s.pick(t)
	s.now = s.now.Add(owner.DefaultReservationTTL / 2)
	s.calls.unreachable = true
	s.router.Renew(t.Context(), s.now)
	s.calls.unreachable = false
	s.now = s.now.Add(renewStep)
	s.router.Renew(t.Context(), s.now)
	s.now = s.now.Add(owner.DefaultReservationTTL / 2)
	require.Equal(t, 1, s.inFlight())
}

func TestShortRequestsAreNotRenewed(t *testing.T) {
	s := newRenewFixture()
	s.pick(t)
	s.router.Renew(t.Context(), s.now.Add(renewAge/2))
	require.Zero(t, s.calls.renewals)
}
