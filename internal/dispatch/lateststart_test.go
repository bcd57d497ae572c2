package dispatch_test

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The router gets the latest start of a request only until the request is dispatched:
// after that, the request is not given up for lack of a placement.
func TestRouterGetsLatestStartOnlyBeforeDispatch(t *testing.T) {
	site := newFakeSite(t)
	followAcrossEngineCrash(t, site)
	site.mu.Lock()
	defer site.mu.Unlock()
	require.GreaterOrEqual(t, len(site.latestStarts), 2)
	require.False(t, site.latestStarts[0].IsZero())
	for _, at := range site.latestStarts[1:] {
		require.True(t, at.IsZero())
	}
}
