package quota

import "time"

// history is what was spent in each part of the last window, by the number of the part.
type history [windowSlots + 1]slot

type slot struct {
	number int64
	units  float64
}

// slotNumber returns the part of a window that holds a time.
func slotNumber(at time.Time, window time.Duration) int64 {
	return at.UnixNano() * windowSlots / int64(window)
}

// add counts units as spent at a time.
func (h *history) add(at time.Time, window time.Duration, units float64) {
	number := slotNumber(at, window)
	s := &h[number%int64(len(h))]
	if s.number != number {
		*s = slot{number: number}
	}
	s.units += units
}

// at returns what was spent in the part of the window that holds a time.
func (h *history) at(at time.Time, window time.Duration) float64 {
	number := slotNumber(at, window)
	if s := h[number%int64(len(h))]; s.number == number {
		return s.units
	}
	return 0
}

// sum returns what was spent within the last window, up to a time ago.
func (h *history) sum(now time.Time, window, ago time.Duration) float64 {
	oldest := slotNumber(now, window) - windowSlots
	newest := slotNumber(now.Add(-ago), window)
	if ago > 0 {
		newest-- // the part that holds the time is not over by then
	}
	return h.between(oldest, newest)
}

// between returns what was spent in the parts with the numbers first to last.
func (h *history) between(first, last int64) float64 {
	sum := 0.0
	for _, s := range h {
		if s.number >= first && s.number <= last {
			sum += s.units
		}
	}
	return sum
}
