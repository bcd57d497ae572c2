package rollout

import "time"

// Parts of an order's duration at which the lease holder acts.
const (
	// judgedAt is until when a version is only tried: a fault may show late.
	judgedAt = 0.65
	// completedAt is when an order is completed even if old upstreams are still at work.
	completedAt = 0.85
	// undecidedAt is when an order is rolled back for want of evidence.
	undecidedAt = 0.85
	// overdueAt is when an order is completed without waiting for other nodes to follow.
	overdueAt = 0.95
)

const (
	// minAnswers is the least number of answers that proves a version.
	minAnswers = 30
	// fewAnswers is the same at undecidedAt.
	fewAnswers = 8
	// minSlotsShare is the least number of slots of the new version, as a share of the old ones', with
	// which it can take the service's requests.
	minSlotsShare = 0.5
	// MinSettle is the least time for which all requests go to the new version before the old one may
	// stop.
	MinSettle = 1200 * time.Millisecond
)

// Progress is what the lease holder decides by.
type Progress struct {
	Order Order
	// Fence is the holder's own fencing number.
	Fence   uint64
	Elapsed time.Duration
	// Bad is true once the version was found bad.
	Bad bool
	// Answers counts the requests that the new version has answered.
	Answers uint32
	// OldSlots and NewSlots sum the slots of the upstreams of each version.
	OldSlots int
	NewSlots int
	// OldOpen is the number of requests in progress at old upstreams, as far as is known.
	OldOpen int
	// Moving is how long all requests have been going to the new version; 0 while they are not.
	Moving time.Duration
	// Settle is the time within which the other nodes hear that all requests move.
	Settle time.Duration
	// Final is the end of the order that was written before, if the store has lost it since.
	Final State
}

// Action is what the lease holder does next.
type Action uint8

const (
	// Hold goes on trying the version.
	Hold Action = iota
	// Claim writes that the order is in progress under the holder's fencing number, so that a
	// late write of an earlier holder fails.
	Claim
	// Move moves all requests to the new version.
	Move
	// Complete writes that the order is completed.
	Complete
	// RollBack writes that the order is rolled back.
	RollBack
)

// Decide returns what the lease holder does next.
func Decide(p *Progress) Action {
	part := float64(p.Elapsed) / float64(max(p.Order.Duration, 1))
	switch {
	case p.Order.State.Ended():
		return Hold
	case p.Final == Completed:
		return Complete
	case p.Bad, p.Final == RolledBack:
		return RollBack
	case p.Order.State == Ordered || p.Order.Fence != p.Fence:
		return Claim
	case part < judgedAt:
		return Hold
	case !p.proven(part):
		if part < undecidedAt {
			return Hold
		}
		return RollBack
	case part >= overdueAt:
		return Complete
	case p.Moving < p.Settle:
		return Move
	case p.OldOpen > 0 && part < completedAt:
		return Move
	}
	return Complete
}

// proven reports whether the version has answered often enough and can take all requests.
func (p *Progress) proven(part float64) bool {
	least := uint32(minAnswers)
	if part >= undecidedAt {
		least = fewAnswers
	}
	return p.Answers >= least && p.NewSlots > 0 && float64(p.NewSlots) >= minSlotsShare*float64(p.OldSlots)
}
