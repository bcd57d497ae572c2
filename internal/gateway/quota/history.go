package quota

import "time"

// history is a ring of slots that holds what was spent in each slot of the last window, indexed
// by slot number.
type history [windowSlots + 1]slot

type slot struct {
	number int64
	units  float64
}

// slotNumber returns the number of the slot that contains the time.
func slotNumber(at time.Time, window time.Duration) int64 {
	return at.UnixNano() * windowSlots / int64(window)
}

// add counts units as spent at the given time.
func (h *history) add(at time.Time, window time.Duration, units float64) {
	number := slotNumber(at, window)
	s := &h[number%int64(len(h))]
	if s.number != number {
		*s = slot{number: number}
	}
	s.units += units
}

// unitsAt returns what was spent in the slot that contains the time.
func (h *history) unitsAt(at time.Time, window time.Duration) float64 {
	number := slotNumber(at, window)
	if s := h[number%int64(len(h))]; s.number == number {
		return s.units
	}
	return 0
}

// sum returns what was spent within the last window up to the time ago before now.
func (h *history) sum(now time.Time, window, ago time.Duration) float64 {
	oldest := slotNumber(now, window) - windowSlots
	newest := slotNumber(now.Add(-ago), window)
	if ago > 0 {
		newest-- // that slot was not complete at that time
	}
	return h.sumSlots(oldest, newest)
}

// sumSlots returns what was spent in the slots with the numbers first to last.
func (h *history) sumSlots(first, last int64) float64 {
	sum := 0.0
	for _, s := range h {
		if s.number >= first && s.number <= last {
			sum += s.units
		}
	}
	return sum
}
