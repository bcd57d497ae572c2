package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"mangoledge.example/mangoledge/internal/membership"
)

const (
	// HostListInterval is the interval at which a site polls the platform's host list.
	HostListInterval = 300 * time.Millisecond
	// turnsPerRound is the number of consecutive turns that go to nodes in different failure domains.
	turnsPerRound = 2
)

// Turn numbers the polls of the host list since the Unix epoch. Every node computes
// it from its own clock; a node whose clock is off polls at other times, but no less
// often.
type Turn uint64

// TurnAt returns the turn that contains at.
func TurnAt(at time.Time) Turn {
	return Turn(at.UnixMilli() / HostListInterval.Milliseconds()) //nolint:gosec // no clock is before 1970
}

// Start returns the time at which the turn begins.
func (t Turn) Start() time.Time {
	return time.UnixMilli(int64(t) * HostListInterval.Milliseconds()) //nolint:gosec // as TurnAt
}

// HostListReader returns the member that polls the host list in the given turn, chosen
// by rendezvous hashing over the usable members; found is false when there are none.
// The two turns of a round go to different failure domains if possible, so that the
// loss of one domain never costs both turns.
func HostListReader(members []membership.Member, turn Turn) (reader membership.Member, found bool) {
	round := turn / turnsPerRound
	first, found := highestHash(members, round, func(*membership.Member) bool { return true })
	if !found || turn%turnsPerRound == 0 {
		return first, found
	}
	elsewhere := func(m *membership.Member) bool { return m.FailureDomain != first.FailureDomain }
	if second, ok := highestHash(members, round, elsewhere); ok {
		return second, true
	}
	other := func(m *membership.Member) bool { return m.Incarnation != first.Incarnation }
	if second, ok := highestHash(members, round, other); ok {
		return second, true
	}
	return first, true
}

// highestHash returns the eligible usable member with the highest hash for a round; equal
// hashes are decided by the smaller incarnation.
func highestHash(members []membership.Member, round Turn, eligible func(*membership.Member) bool) (out membership.Member, found bool) {
	var most uint64
	for i := range members {
		m := &members[i]
		if !m.State.Usable() || !eligible(m) {
			continue
		}
		weight := turnHash(m, round)
		if !found || weight > most || (weight == most && m.Incarnation < out.Incarnation) {
			out, most, found = *m, weight, true
		}
	}
	return out, found
}

func turnHash(m *membership.Member, round Turn) uint64 {
	hash := xxhash.NewWithSeed(uint64(round))
	_, _ = hash.WriteString(string(m.Incarnation)) // never fails
	return hash.Sum64()
}
