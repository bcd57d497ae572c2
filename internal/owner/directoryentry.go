package owner

import (
	"time"

	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/routing"
)

// entry is what is known of one owner of one pool.
type entry struct {
	member membership.Member
	// upstreams are the hashes of the owned upstreams' names.
	upstreams []uint64
	summary   Summary
	heard     time.Time
	// sent counts reservations asked for since the summary.
	sent int
	// full is until when the owner is taken for full after it refused.
	full time.Time
	// fullForSuspects is until when it is taken for full for suspects alone.
	fullForSuspects time.Time
}

func keepSummary(e, before *entry) {
	if before == nil {
		return
	}
	e.summary = before.summary
	e.heard = before.heard
	e.sent = before.sent
	e.full = before.full
	e.fullForSuspects = before.fullForSuspects
}

// cost returns what a request costs at the owner's upstreams, in seconds, when
// the part busy of its slots is taken and the part missing of the prefix is not
// cached there.
func (e *entry) cost(now time.Time, f *routing.Features, busy, missing float64) float64 {
	if e.refuses(now, f) {
		busy = max(busy, busyOfFull)
	}
	tokens := float64(f.MaxTokens)
	decode := tokens * assumedPace
	cost := decode + busy*assumedSlots*tokens*tokenShare
	cost += max(0, busy-1) * decode
	prefill := float64(f.PromptTokens) * missing / prefillTokensPerSecond
	return cost + prefill*(1+busy*assumedSlots)
}

// busy returns the part of the owner's slots that is taken; assumed when it was
// not heard of lately.
func (e *entry) busy(now time.Time, assumed float64) float64 {
	if !e.heardLately(now) {
		return assumed
	}
	if e.summary.Slots == 0 {
		return 1
	}
	return float64(int(e.summary.InFlight)+e.sent) / float64(e.summary.Slots)
}

func (e *entry) heardLately(now time.Time) bool {
	return now.Sub(e.heard) <= summaryAge
}

// refuses reports whether the owner has just refused a request like this one.
func (e *entry) refuses(now time.Time, f *routing.Features) bool {
	return now.Before(e.full) || (f.Suspect && now.Before(e.fullForSuspects))
}
