package dispatch_test

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The router hears by when a request needs its place, until it was sent: after
// that it is not given up for want of one.
func TestRouterHearsTheLatestStartOfWhatWasNotSent(t *testing.T) {
	site := newFakeSite(t)
	followPastADeath(t, site)
	site.mu.Lock()
	defer site.mu.Unlock()
	require.GreaterOrEqual(t, len(site.latestStarts), 2)
	require.False(t, site.latestStarts[0].IsZero())
	for _, at := range site.latestStarts[1:] {
		require.True(t, at.IsZero())
	}
}
