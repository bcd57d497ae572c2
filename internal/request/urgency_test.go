package request

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a waiting request being overtaken by one that may start later,
// however long the first has waited and whenever the second arrived.
func TestUrgencyOrdersByLatestStart(t *testing.T) {
	start := time.Unix(1000, 0)
	waiting := UrgencyOf(start.Add(20*time.Second), 2*time.Second)
	last := UrgencyOf(start, 0)
	for s := range 40 {
		arrival := start.Add(time.Duration(s) * time.Second)
		later := UrgencyOf(arrival.Add(5*time.Second), time.Second)
		require.Equal(t, arrival.Add(4*time.Second).Before(start.Add(18*time.Second)), later > waiting, "arrival at %d s", s)
		require.Less(t, later, last, "a later deadline is less urgent")
		last = later
	}
}
