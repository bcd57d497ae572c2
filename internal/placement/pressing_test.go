package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/owner"
	"mangoledge.example/mangoledge/internal/routing"
)

// fill takes all places at the one upstream and returns its owner's ledger.
func fill(s *pair) (*owner.Ledger, []owner.ReservationID) {
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

// A request that would be given up soon gets into the line of an upstream where
// others are refused, and a slot when one comes free.
func TestRequestThatIsPressingGetsIntoAFullLine(t *testing.T) {
	now := time.Now()
	s := newPairAt(func() time.Time { return now })
	ledger, held := fill(s)
	require.Len(t, held, slots+routing.DefaultOvercommit)
	early := need("", patience)
	early.LatestStart = now.Add(time.Minute)
	_, err := s.routers[0].Pick(t.Context(), early)
	require.Error(t, err)

	pressing := need("", patience)
	pressing.LatestStart = now.Add(time.Second)
	placed := make(chan dispatch.Placement, 1)
	go func() {
		place, _ := s.routers[1].Pick(t.Context(), pressing)
		placed <- place
	}()
	require.Eventually(t, func() bool { return ledger.Held() > len(held) || len(placed) > 0 }, patience, time.Millisecond)
	for _, id := range held {
		ledger.Release(now, id, routing.Outcome{})
	}
	place := <-placed
	require.NotNil(t, place)
	place.Release(dispatch.OutcomeDone, 0)
}
