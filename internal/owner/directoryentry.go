package owner

import (
	"time"

	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/routing"
)

// entry is what the directory knows about one owner of one pool.
type entry struct {
	member membership.Member
	// upstreams are the hashes of the IDs of the upstreams that it owns.
	upstreams []uint64
	// summary is the latest summary, received at summaryAt.
	summary   Summary
	summaryAt time.Time
	// requestedSince counts the reservations requested since the summary.
	requestedSince int
	// fullUntil is when the owner is no longer treated as full after a refusal.
	fullUntil time.Time
	// fullForSuspectsUntil is the same for suspect requests only.
	fullForSuspectsUntil time.Time
}

// keepSummary copies the summary and the refusals of before, if any, into e.
func keepSummary(e, before *entry) {
	if before == nil {
		return
	}
	e.summary = before.summary
	e.summaryAt = before.summaryAt
	e.requestedSince = before.requestedSince
	e.fullUntil = before.fullUntil
	e.fullForSuspectsUntil = before.fullForSuspectsUntil
}

// cost returns the estimated time that a request takes at the owner's upstreams,
// in seconds. utilization is the fraction of the owner's slots in use, and missing
// the fraction of the prompt that is not cached there.
func (e *entry) cost(now time.Time, f *routing.Features, utilization, missing float64) float64 {
	if e.recentlyRefused(now, f) {
		utilization = max(utilization, refusedUtilization)
	}
	tokens := float64(f.MaxTokens)
	decode := tokens * assumedTokenSeconds
	cost := decode + utilization*assumedSlots*tokens*tokenSecondsPerRequest
	cost += max(0, utilization-1) * decode
	prefill := float64(f.PromptTokens) * missing / prefillTokensPerSecond
	return cost + prefill*(1+utilization*assumedSlots)
}

// utilization returns the fraction of the owner's slots that is in use. It returns
// assumed when there is no recent summary.
func (e *entry) utilization(now time.Time, assumed float64) float64 {
	if !e.hasRecentSummary(now) {
		return assumed
	}
	if e.summary.Slots == 0 {
		return 1
	}
	return float64(int(e.summary.InFlight)+e.requestedSince) / float64(e.summary.Slots)
}

// hasRecentSummary reports whether the summary is at most maxSummaryAge old.
func (e *entry) hasRecentSummary(now time.Time) bool {
	return now.Sub(e.summaryAt) <= maxSummaryAge
}

// recentlyRefused reports whether the owner is still avoided for requests like
// this one after a refusal.
func (e *entry) recentlyRefused(now time.Time, f *routing.Features) bool {
	return now.Before(e.fullUntil) || (f.Suspect && now.Before(e.fullForSuspectsUntil))
}
