package historycheck

import (
	"slices"
	"time"
)

// RepeatBound bounds the repeats of a service in every window: Share of the requests for
// it and Reserve. The requests of the window, of the one before it or of the one half a
// window before it count, whichever has most.
type RepeatBound struct {
	Window  time.Duration
	Share   float64
	Reserve float64
}

// Nearest returns how many repeats the window nearest to its bound holds, and how many
// are allowed there; 0 and 0 when there are no repeats.
func (b RepeatBound) Nearest(requests, repeats []time.Time) (held, allowed float64) {
	requests, repeats = sorted(requests), sorted(repeats)
	for _, from := range repeats {
		most := max(b.within(requests, from), b.within(requests, from.Add(-b.Window/2)), b.within(requests, from.Add(-b.Window)))
		n, bound := b.within(repeats, from), b.Share*most+b.Reserve
		if allowed == 0 || n*allowed > held*bound {
			held, allowed = n, bound
		}
	}
	return held, allowed
}

// within counts the times in the window that begins at from; they are in order.
func (b RepeatBound) within(times []time.Time, from time.Time) float64 {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	next, _ := slices.BinarySearchFunc(times, from.Add(b.Window), time.Time.Compare)
	return float64(next - first)
}

func sorted(times []time.Time) []time.Time {
	return slices.SortedFunc(slices.Values(times), time.Time.Compare)
}
