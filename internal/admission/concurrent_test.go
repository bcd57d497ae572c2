package admission

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/verdict"
)

// Many goroutines admit, dispatch and release at the same time; no ticket is lost or
// settled twice.
func TestControllerUnderConcurrentUse(t *testing.T) {
	const workers, each = 8, 300
	var mu sync.Mutex
	settled := make(map[*Ticket]int)
	note := func(t *Ticket) {
		mu.Lock()
		settled[t]++
		mu.Unlock()
	}
	c := NewController(Settings{MaxQueued: 20, OnShed: func(t *Ticket, _ *verdict.Error) { note(t) }})
	var group sync.WaitGroup
	for w := range workers {
		group.Go(func() {
			for i := range each {
				_, _ = c.Admit(start, newRequest(fmt.Sprint(w%3), i%10, float64(i%7), time.Millisecond, time.Hour))
				if ticket, ok := c.Next(start, model); ok {
					note(ticket)
					c.Release(start, ticket)
				}
			}
		})
	}
	group.Wait()
	for {
		ticket, ok := c.Next(start, model)
		if !ok {
			break
		}
		note(ticket)
		c.Release(start, ticket)
	}
	k := c.Counters()
	require.Equal(t, uint64(workers*each), k.Accepted+k.Refused)
	require.Equal(t, k.Accepted, k.Shed+k.Released)
	require.Len(t, settled, int(k.Accepted))
	for _, n := range settled {
		require.Equal(t, 1, n)
	}
}
