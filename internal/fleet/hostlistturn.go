package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"mangoledge.example/mangoledge/internal/membership"
)

const (
	// HostListTurn is the time between two turns of a site to read the platform's host list.
	HostListTurn = 300 * time.Millisecond
	// turnsPerRound is how many turns in a row go to nodes of different failure domains.
	turnsPerRound = 2
)

// Turn is one turn to read the host list, counted from the Unix epoch. Every node
// counts by its own clock; one whose clock is off reads at another time, no less often.
type Turn uint64

// TurnAt returns the turn that a time falls in.
func TurnAt(at time.Time) Turn {
	return Turn(at.UnixMilli() / HostListTurn.Milliseconds()) //nolint:gosec // no clock is before 1970
}

// Start returns when the turn begins.
func (t Turn) Start() time.Time {
	return time.UnixMilli(int64(t) * HostListTurn.Milliseconds()) //nolint:gosec // as TurnAt
}

// HostListReader returns the member whose turn it is, by rendezvous hash over the
// usable members; found is false when there are none. The two turns of a round go to
// two failure domains if there are two, so that the loss of one never takes both.
func HostListReader(members []membership.Member, turn Turn) (reader membership.Member, found bool) {
	round := turn / turnsPerRound
	first, found := heaviest(members, round, func(*membership.Member) bool { return true })
	if !found || turn%turnsPerRound == 0 {
		return first, found
	}
	elsewhere := func(m *membership.Member) bool { return m.FailureDomain != first.FailureDomain }
	if second, ok := heaviest(members, round, elsewhere); ok {
		return second, true
	}
	other := func(m *membership.Member) bool { return m.Incarnation != first.Incarnation }
	if second, ok := heaviest(members, round, other); ok {
		return second, true
	}
	return first, true
}

// heaviest returns the eligible usable member with the largest hash for a round.
func heaviest(members []membership.Member, round Turn, eligible func(*membership.Member) bool) (out membership.Member, found bool) {
	var most uint64
	for i := range members {
		m := &members[i]
		if !m.State.Usable() || !eligible(m) {
			continue
		}
		weight := turnWeight(m, round)
		if !found || weight > most || (weight == most && m.Incarnation < out.Incarnation) {
			out, most, found = *m, weight, true
		}
	}
	return out, found
}

func turnWeight(m *membership.Member, round Turn) uint64 {
	hash := xxhash.NewWithSeed(uint64(round))
	_, _ = hash.WriteString(string(m.Incarnation)) // never fails
	return hash.Sum64()
}
