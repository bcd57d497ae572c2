package historycheck

import (
	"slices"
	"time"
)

// RetryBound limits the retries to a service in every window to Share times the requests to
// the service plus Reserve. The requests are those of the window itself, of the previous
// window or of the window that begins half a window earlier, whichever has the most.
type RetryBound struct {
	Window  time.Duration
	Share   float64
	Reserve float64
}

// FullestWindow returns the number of retries and the number allowed in the window with the
// largest ratio of the two; 0 and 0 if there are no retries.
func (b RetryBound) FullestWindow(requests, retries []time.Time) (retryCount, allowed float64) {
	requests, retries = sorted(requests), sorted(retries)
	for _, from := range retries {
		most := max(b.countInWindow(requests, from), b.countInWindow(requests, from.Add(-b.Window/2)), b.countInWindow(requests, from.Add(-b.Window)))
		n, bound := b.countInWindow(retries, from), b.Share*most+b.Reserve
		if allowed == 0 || n*allowed > retryCount*bound {
			retryCount, allowed = n, bound
		}
	}
	return retryCount, allowed
}

// countInWindow counts the times in the window that begins at from. The times must be sorted.
func (b RetryBound) countInWindow(times []time.Time, from time.Time) float64 {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	next, _ := slices.BinarySearchFunc(times, from.Add(b.Window), time.Time.Compare)
	return float64(next - first)
}

func sorted(times []time.Time) []time.Time {
	return slices.SortedFunc(slices.Values(times), time.Time.Compare)
}
