package exchange

import (
	"time"

	"mangoledge.example/mangoledge/internal/gateway/catalog"
)

const (
	// maxDepartureWait is the longest time that the end of a response waits for the removal of its
	// upstream's entry. Clients abandon a stream after a pause of two seconds at the earliest.
	maxDepartureWait = 1500 * time.Millisecond
	// maxRemovalLead is how long before the end of a response the removal of its upstream's entry may be
	// known: the last packets may have been lost and sent again.
	maxRemovalLead = 250 * time.Millisecond
)

// endEvidence is what the end of an unframed response is judged by, as written in logs and metrics.
type endEvidence string

const (
	// evidenceOutlived means that the upstream's process outlived the response, which is complete.
	evidenceOutlived endEvidence = "outlived"
	// evidenceLeft means that the upstream reported that it drains, served for the drain time, and
	// removed its entry when it had left. The response is complete.
	evidenceLeft endEvidence = "left"
	// evidencePending means that the upstream's entry may yet show that it left.
	evidencePending endEvidence = "pending"
	// evidenceNotLeaving means that the process ended though the upstream had not reported that it drains,
	// or that its entry was removed without that report: what follows the removal is not reported.
	evidenceNotLeaving endEvidence = "not_leaving"
	// evidenceReclaimed means that the upstream ends at a set time, whatever it does.
	evidenceReclaimed endEvidence = "reclaimed"
	// evidenceTooEarly means that the process ended before the drain time was over.
	evidenceTooEarly endEvidence = "too_early"
	// evidenceStillListed means that the upstream's entry was not removed.
	evidenceStillListed endEvidence = "still_listed"
	// evidenceLapsed means that the entry was removed, but may have lapsed.
	evidenceLapsed endEvidence = "lapsed"
	// evidenceLeftBefore means that the entry had been removed while the response went on.
	evidenceLeftBefore endEvidence = "left_before"
	// evidenceUnlisted means that the store tells nothing of this incarnation of the upstream.
	evidenceUnlisted endEvidence = "unlisted"
)

// PlannedExits tells planned exits of upstreams from other ends of their processes: only an upstream that
// has left as planned removes its entry. That of one that has crashed remains until it has been silent
// for three report intervals.
type PlannedExits struct {
	// DrainTime is how long an upstream serves after the store has accepted its report that it drains.
	DrainTime time.Duration
	// ReportInterval is the interval of an upstream's reports to the store. If it is 0, no removal is
	// known to be the upstream's own.
	ReportInterval time.Duration
}

// judge returns what the departure of an upstream says about a response that ended at endedAt, after
// which the upstream's process was found to be gone.
func (p PlannedExits) judge(d *catalog.Departure, endedAt, now time.Time) endEvidence {
	switch {
	case d.Last.LeavesIn > 0:
		return evidenceReclaimed
	case !d.Last.Draining:
		return evidenceNotLeaving
	case endedAt.Sub(d.DrainingAfter) < p.DrainTime:
		return evidenceTooEarly
	case d.RemovedAt.IsZero() && now.Sub(endedAt) < p.maxWait():
		return evidencePending
	case d.RemovedAt.IsZero():
		return evidenceStillListed
	case d.RemovedAt.Sub(d.ReportedAfter) >= p.maxSilence():
		return evidenceLapsed
	case endedAt.Sub(d.RemovedAt) > maxRemovalLead:
		return evidenceLeftBefore
	}
	return evidenceLeft
}

// maxWait is how long the removal of an entry is waited for. The entry of an upstream that crashed lapses
// two report intervals later at the earliest.
func (p PlannedExits) maxWait() time.Duration { return min(p.ReportInterval*5/4, maxDepartureWait) }

// maxSilence is the longest time between an upstream's last report and the removal of its entry in which
// the entry can't have lapsed. It leaves half an interval for delays on the way from the store.
func (p PlannedExits) maxSilence() time.Duration { return p.ReportInterval * 5 / 2 }
