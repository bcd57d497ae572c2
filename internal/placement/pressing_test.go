package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/owner"
	"mangoledge.example/mangoledge/internal/routing"
)

// fill reserves all slots of the upstream and its whole queue. It returns the ledger
// of the upstream's owner and the reservations.
func fill(s *nodePair) (*owner.Ledger, []owner.ReservationID) {
	var held []owner.ReservationID
	for _, r := range s.routers {
		for i := range slots + routing.DefaultOvercommit {
			id := owner.ReservationID{Holder: 1, Serial: uint64(i)}
			if r.ledger.Reserve(s.now(), &owner.ReserveArgs{ID: id, Model: "m", Hold: time.Hour}).Granted {
				held = append(held, id)
			}
		}
		if len(held) > 0 {
			return r.ledger, held
		}
	}
	return nil, nil
}

// A request that is about to be given up is queued at an upstream whose queue is full
// for others, and gets a slot when one becomes free.
func TestPressingRequestEntersFullQueue(t *testing.T) {
	now := time.Now()
	s := newNodePairAt(func() time.Time { return now })
	ledger, held := fill(s)
	require.Len(t, held, slots+routing.DefaultOvercommit)
	early := newPlacementRequest("", waitTimeout)
	early.LatestStart = now.Add(time.Minute)
	_, err := s.routers[0].Pick(t.Context(), early)
	require.Error(t, err)

	pressing := newPlacementRequest("", waitTimeout)
	pressing.LatestStart = now.Add(time.Second)
	placed := make(chan dispatch.Placement, 1)
	go func() {
		placement, _ := s.routers[1].Pick(t.Context(), pressing)
		placed <- placement
	}()
	require.Eventually(t, func() bool { return ledger.ReservationCount() > len(held) || len(placed) > 0 }, waitTimeout, time.Millisecond)
	for _, id := range held {
		ledger.Release(now, id, routing.Outcome{})
	}
	placement := <-placed
	require.NotNil(t, placement)
	placement.Release(dispatch.OutcomeDone, 0)
}
