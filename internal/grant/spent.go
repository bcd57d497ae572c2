package grant

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

const (
	// FingerprintLife is how long after the issue of its prefix a taken slot is
	// remembered by itself. Until then a caller that keeps to the rules may send the
	// ID: it keeps a prefix for an hour at most, the deadline of a request is an hour
	// at most, and the rest is grace for late resends and for clocks that differ.
	FingerprintLife = 2*time.Hour + 10*time.Minute
	// periodTime is the length of a period.
	periodTime = 10 * time.Minute
	// unstamped is the period of IDs that don't tell when their prefix was issued.
	unstamped period = 0
)

// period is the span of time in which an ID's prefix was issued, counted from 1970.
type period uint32

// periodOf returns the period of an ID.
func periodOf(id ident.RequestID) period {
	issued, ok := id.Issued()
	if !ok {
		return unstamped
	}
	return period(issued.Unix() / int64(periodTime/time.Second)) //nolint:gosec // a stamp has 32 bits
}

// end returns when the period ends.
func (p period) end() time.Time {
	return time.Unix(0, 0).Add(time.Duration(p+1) * periodTime)
}

// spentSlots remembers the taken slots whose entries have expired: one by one
// for FingerprintLife, and from then on all that their period may hold.
//
// Invariant: a slot that was added is known for ever, since a period that was
// forgotten is at most the limit, and the limit only grows. Clocks decide when a
// period is forgotten and never what is known.
type spentSlots struct {
	periods map[period]map[Fingerprint]struct{}
	count   int
	// limit is the last period of which the slots were forgotten; every ID of it or
	// of one before may have been among them.
	limit period
}

func newSpentSlots() *spentSlots {
	return &spentSlots{periods: make(map[period]map[Fingerprint]struct{})}
}

// add remembers a taken slot.
func (s *spentSlots) add(id ident.RequestID) {
	if !s.mayHaveForgotten(id) {
		s.put(periodOf(id), fingerprint(id))
	}
}

func (s *spentSlots) put(p period, f Fingerprint) {
	slots := s.periods[p]
	if slots == nil {
		slots = make(map[Fingerprint]struct{})
		s.periods[p] = slots
	}
	if _, ok := slots[f]; !ok {
		slots[f] = struct{}{}
		s.count++
	}
}

// has reports whether the slot of id is remembered by itself.
func (s *spentSlots) has(id ident.RequestID) bool {
	_, ok := s.periods[periodOf(id)][fingerprint(id)]
	return ok
}

// mayHaveForgotten reports whether the slot of id may be one that was forgotten.
func (s *spentSlots) mayHaveForgotten(id ident.RequestID) bool {
	p := periodOf(id)
	return p != unstamped && p <= s.limit
}

// forget drops the periods that ended more than FingerprintLife before now.
func (s *spentSlots) forget(now time.Time) {
	for p, slots := range s.periods {
		if p == unstamped || p.end().Add(FingerprintLife).After(now) {
			continue
		}
		s.limit = max(s.limit, p)
		s.count -= len(slots)
		delete(s.periods, p)
	}
}

// SpentPeriod is the slots of one period on their way to the successor.
type SpentPeriod struct {
	// Period is 0 for IDs that don't tell when their prefix was issued.
	Period uint32
	Slots  []Fingerprint
}

// list returns all slots in order of their periods and fingerprints.
func (s *spentSlots) list() []SpentPeriod {
	var out []SpentPeriod
	for p, slots := range s.periods {
		next := SpentPeriod{Period: uint32(p), Slots: slices.Collect(maps.Keys(slots))}
		slices.SortFunc(next.Slots, func(a, b Fingerprint) int { return slices.Compare(a[:], b[:]) })
		out = append(out, next)
	}
	slices.SortFunc(out, func(a, b SpentPeriod) int { return cmp.Compare(a.Period, b.Period) })
	return out
}

// adopt takes over what another table's list and limit say.
func (s *spentSlots) adopt(list []SpentPeriod, limit uint32) {
	s.limit = max(s.limit, period(limit))
	for _, one := range list {
		for _, f := range one.Slots {
			s.put(period(one.Period), f)
		}
	}
}
