package placement

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/owner"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/routing"
	"mangoledge.example/mangoledge/internal/standin/members"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

const (
	// waitTimeout is how long tests wait for an expected event.
	waitTimeout = time.Minute
	// slots is the number of slots of the only upstream.
	slots = 2
)

// nodePair is two nodes and one upstream, which one of the nodes owns.
type nodePair struct {
	members []membership.Member
	routers []*Router
	// partitioned is true while the nodes can't call each other.
	partitioned bool
	now         func() time.Time
}

// newNodePair returns two connected nodes that use the system clock.
func newNodePair() *nodePair {
	return newNodePairAt(time.Now)
}

// newNodePairAt is newNodePair with a given clock.
func newNodePairAt(now func() time.Time) *nodePair {
	s := &nodePair{now: now}
	for i := range 2 {
		name := fmt.Sprint("n", i)
		s.members = append(s.members, membership.Member{
			Incarnation: ident.Incarnation(name + "_1"), Node: ident.Node(name), FailureDomain: "a", PeerAddress: name, State: membership.StateAlive,
		})
	}
	for i := range s.members {
		r := NewRouter(Options{
			Members: members.NewView(s.members, i), Fleet: s, UnmarkedFleet: s, LeavingRevision: func() uint64 { return 0 }, Calls: s, Now: now,
			Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), Policy: routing.CostPolicy{Weights: routing.WeightsFor(defaultLatencyWeight)},
			MarkLeaving: func(ident.Upstream) {},
			Suspect:     func(spec *request.Spec) bool { return spec.Input == "suspect" },
		})
		r.Update(now())
		s.routers = append(s.routers, r)
	}
	return s
}

func (s *nodePair) Upstreams() []fleet.Upstream {
	return []fleet.Upstream{{
		ID: "e1", URL: "http://e1", FailureDomain: "a", Models: []ident.Model{"m"}, Slots: slots, State: fleet.StateReady,
	}}
}

// Call serves a call by the ledger of the node at address, without a network.
func (s *nodePair) Call(_ context.Context, address, method string, args, reply any) error {
	if s.partitioned {
		return errors.New("partitioned")
	}
	for i := range s.members {
		if s.members[i].PeerAddress != address {
			continue
		}
		service := owner.NewService(s.routers[i].Ledger(), s.now)
		if method == owner.MethodReserve {
			return service.Reserve(args.(*owner.ReserveArgs), reply.(*owner.ReserveReply))
		}
		return service.Release(args.(*owner.ReleaseArgs), reply.(*owner.ReleaseReply))
	}
	return errors.Newf("no node at %s", address)
}

// newPlacementRequest returns a request whose deadline is the given time from now.
func newPlacementRequest(input string, deadline time.Duration) *dispatch.PlacementRequest {
	return &dispatch.PlacementRequest{Spec: &request.Spec{Model: "m", Input: input, MaxTokens: 1, Deadline: time.Now().Add(deadline)}}
}

// eventuallyPlaced calls Pick until it succeeds, because an owner that has refused a
// request is avoided for a moment.
func eventuallyPlaced(t *testing.T, r *Router, input string) dispatch.Placement {
	t.Helper()
	var placement dispatch.Placement
	require.Eventually(t, func() bool {
		var err error
		placement, err = r.Pick(t.Context(), newPlacementRequest(input, waitTimeout))
		return err == nil
	}, waitTimeout, time.Millisecond)
	return placement
}

// A suspect request waits while another one runs at the upstream, whichever node
// placed that one.
func TestSuspectsNeverShareUpstream(t *testing.T) {
	s := newNodePair()
	for i, r := range s.routers {
		other := s.routers[1-i]
		first := eventuallyPlaced(t, r, "suspect")
		_, err := other.Pick(t.Context(), newPlacementRequest("suspect", 100*time.Millisecond))
		require.Error(t, err)
		eventuallyPlaced(t, other, "harmless").Release(dispatch.OutcomeDone, 0)
		first.Release(dispatch.OutcomeDone, 0)
		eventuallyPlaced(t, other, "suspect").Release(dispatch.OutcomeDone, 0)
	}
}

// When an owner refuses a suspect request, other requests still ask it at once, because
// it may have slots for them.
func TestRefusedSuspectDoesNotBlockOtherRequests(t *testing.T) {
	now := time.Now()
	for i := range 2 {
		s := newNodePairAt(func() time.Time { return now })
		first, err := s.routers[i].Pick(t.Context(), newPlacementRequest("suspect", waitTimeout))
		require.NoError(t, err)
		other := s.routers[1-i]
		_, err = other.Pick(t.Context(), newPlacementRequest("suspect", waitTimeout))
		require.Error(t, err)
		harmless, err := other.Pick(t.Context(), newPlacementRequest("harmless", waitTimeout))
		require.NoError(t, err, "the upstream has a free slot")
		harmless.Release(dispatch.OutcomeDone, 0)
		first.Release(dispatch.OutcomeDone, 0)
	}
}

// When the owner can't be reached, a harmless request is placed without it, and a
// suspect one is not.
func TestSuspectIsNotPlacedWithoutOwner(t *testing.T) {
	s := newNodePair()
	s.partitioned = true
	placed := 0
	for _, r := range s.routers {
		placement, err := r.Pick(t.Context(), newPlacementRequest("harmless", waitTimeout))
		require.NoError(t, err)
		placement.Release(dispatch.OutcomeDone, 0)
		if placement, err := r.Pick(t.Context(), newPlacementRequest("suspect", 100*time.Millisecond)); err == nil {
			placed++
			placement.Release(dispatch.OutcomeDone, 0)
		}
	}
	require.Equal(t, 1, placed, "only the owner itself places a suspect request")
}
