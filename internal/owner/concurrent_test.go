package owner

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/routing"
)

// Many holders reserve and release concurrently: the count never exceeds the limit
// and returns to zero.
func TestLedgerConcurrentUse(t *testing.T) {
	const holders, perHolder = 8, 300
	l := newLedger()
	var group sync.WaitGroup
	for h := range holders {
		group.Go(func() {
			for i := range uint64(perHolder) {
				a := args(i, time.Minute)
				a.ID.Holder = ident.IncarnationHash(h)
				reply := l.Reserve(start, a)
				if reply.Summary.InFlight > 6*(testSlots+testOvercommit) {
					t.Errorf("%d requests are in flight, more than slots and overcommit", reply.Summary.InFlight)
				}
				if i%10 == 0 {
					l.Update(start, upstreams(6), members(1))
				}
				l.Release(start, a.ID, routing.Outcome{})
			}
		})
	}
	group.Wait()
	require.Zero(t, l.ReservationCount())
	require.Zero(t, l.Table().PoolUsage(start, routing.Pool{Model: "m"}).InFlight)
	started, ended := l.Table().Counters()
	require.Equal(t, started, ended)
	require.Positive(t, started)
}
