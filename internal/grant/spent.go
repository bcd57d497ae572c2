package grant

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

const (
	// FingerprintTTL is how long after the issue of its prefix the fingerprint of a
	// spent request is kept. Within this time a well-behaved caller may still send the
	// ID: it uses a prefix for at most an hour and sets a deadline of at most an hour;
	// the rest allows for late resends and clock skew.
	FingerprintTTL = 2*time.Hour + 10*time.Minute
	periodLength   = 10 * time.Minute
	// periodUnknown is the period of IDs without the time at which their prefix was issued.
	periodUnknown period = 0
)

// period is the interval of periodLength in which the prefix of an ID was issued,
// numbered from the Unix epoch.
type period uint32

// periodOf returns the period in which the prefix of id was issued.
func periodOf(id ident.RequestID) period {
	issued, ok := id.Issued()
	if !ok {
		return periodUnknown
	}
	return period(issued.Unix() / int64(periodLength/time.Second)) //nolint:gosec // a stamp has 32 bits
}

// end returns when the period ends.
func (p period) end() time.Time {
	return time.Unix(0, 0).Add(time.Duration(p+1) * periodLength)
}

// spentSlots stores the spent requests, whose slot was taken and which no longer
// have an entry. For FingerprintTTL it stores the fingerprint of each; after that it
// treats every ID of the period, and of earlier ones, as possibly spent.
//
// Invariant: a request that was added is treated as spent permanently, because
// lastForgotten is at least the period of every dropped fingerprint and only
// grows. Clocks determine when a period is dropped, and never whether a request
// counts as spent.
type spentSlots struct {
	periods map[period]map[Fingerprint]struct{}
	count   int
	// lastForgotten is the last period whose fingerprints were dropped; every ID of it or
	// of an earlier period may have been among them.
	lastForgotten period
}

// newSpentSlots returns an empty set.
func newSpentSlots() *spentSlots {
	return &spentSlots{periods: make(map[period]map[Fingerprint]struct{})}
}

// add records id as spent.
func (s *spentSlots) add(id ident.RequestID) {
	if !s.mayHaveForgotten(id) {
		s.put(periodOf(id), fingerprintOf(id))
	}
}

// put stores a fingerprint unless it is stored already.
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

// contains reports whether the fingerprint of id is stored.
func (s *spentSlots) contains(id ident.RequestID) bool {
	_, ok := s.periods[periodOf(id)][fingerprintOf(id)]
	return ok
}

// mayHaveForgotten reports whether a fingerprint of id would have been dropped by now.
func (s *spentSlots) mayHaveForgotten(id ident.RequestID) bool {
	p := periodOf(id)
	return p != periodUnknown && p <= s.lastForgotten
}

// forget drops the fingerprints of periods that ended at least FingerprintTTL before now.
func (s *spentSlots) forget(now time.Time) {
	for p, slots := range s.periods {
		if p == periodUnknown || p.end().Add(FingerprintTTL).After(now) {
			continue
		}
		s.lastForgotten = max(s.lastForgotten, p)
		s.count -= len(slots)
		delete(s.periods, p)
	}
}

// SpentPeriod holds the fingerprints of one period in a Snapshot.
type SpentPeriod struct {
	// Period is 0 for IDs without the time at which their prefix was issued.
	Period uint32
	// Slots are the fingerprints of the spent requests, sorted.
	Slots []Fingerprint
}

// list returns all fingerprints, sorted by period and fingerprint.
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

// merge adds the fingerprints of another table and its last forgotten period.
func (s *spentSlots) merge(list []SpentPeriod, lastForgotten uint32) {
	s.lastForgotten = max(s.lastForgotten, period(lastForgotten))
	for _, one := range list {
		for _, f := range one.Slots {
			s.put(period(one.Period), f)
		}
	}
}
