package historycheck

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestWindowNearestToItsRetryBoundIsFound(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds ...float64) (out []time.Time) {
		for _, s := range seconds {
			out = append(out, start.Add(time.Duration(s*float64(time.Second))))
		}
		return out
	}
	bound := RetryBound{Window: 10 * time.Second, Share: 0.5, Reserve: 1}
	retryCount, allowed := bound.FullestWindow(at(1, 2), nil)
	require.Zero(t, retryCount)
	require.Zero(t, allowed)
	retryCount, allowed = bound.FullestWindow(at(1, 2, 3, 4), at(5, 7, 15, 6))
	require.Equal(t, 3.0, retryCount, "the end of a window is not part of it")
	require.Equal(t, 3.0, allowed, "the requests of the previous window count")
	retryCount, allowed = bound.FullestWindow(nil, at(50, 51, 61.5))
	require.Equal(t, 2.0, retryCount)
	require.Equal(t, 1.0, allowed)
}
