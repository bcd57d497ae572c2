package exchange

import (
	"time"

	"mangoledge.example/mangoledge/internal/gateway/catalog"
)

const (
	// maxDepartureWait is the longest time that the end of a response waits for the removal of its
	// upstream's entry. Clients abandon a stream after a pause of two seconds at the earliest.
	maxDepartureWait = 1800 * time.Millisecond
	// maxReportWait is the longest time that an uncertain end, of a response that was read late, waits for a
	// report of its upstream.
	maxReportWait = 3 * time.Second
	// maxRemovalLead is how long before the end of a response's connection the removal of its upstream's entry may
	// be known: the last packets may have been lost and sent again.
	maxRemovalLead = 250 * time.Millisecond
	// maxReportDelay is how long an answer of the store may take. A report that was accepted before an
	// answer arrived may be in the next one.
	maxReportDelay = 250 * time.Millisecond
)

// endEvidence is what the end of an unframed response is judged by, as written in logs and metrics.
type endEvidence string

const (
	// evidenceOutlived means that the upstream's process outlived the response, which is complete.
	evidenceOutlived endEvidence = "outlived"
	// evidenceReported means that the upstream has reported to the store since the response ended, which is
	// complete.
	evidenceReported endEvidence = "reported"
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

// complete reports whether the response is complete by this evidence.
func (e endEvidence) complete() bool {
	return e == evidenceOutlived || e == evidenceReported || e == evidenceLeft
}

// processEnd is the end of an unframed response after which the upstream's process was not found.
type processEnd struct {
	// aliveAt is a time until which the process had not closed the connection, and at is when its end was read.
	aliveAt, at time.Time
	// uncertain is true if the process may live: a later one may have its address, but need not.
	uncertain bool
}

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

// judge returns what the store tells of an upstream says about a response with the given end.
func (p PlannedExits) judge(d *catalog.Departure, end processEnd, now time.Time) endEvidence {
	mayWait := now.Sub(end.at) < p.maxWait(end)
	switch {
	case d.RemovedAt.IsZero() && d.ReportedAfter.Sub(end.at) > maxReportDelay:
		return evidenceReported
	case d.RemovedAt.IsZero() && end.uncertain && mayWait:
		return evidencePending
	case d.Last.LeavesIn > 0:
		return evidenceReclaimed
	case !d.Last.Draining:
		return evidenceNotLeaving
	case end.at.Sub(d.DrainingAfter) < p.DrainTime:
		return evidenceTooEarly
	case d.RemovedAt.IsZero() && mayWait:
		return evidencePending
	case d.RemovedAt.IsZero():
		return evidenceStillListed
	case d.RemovedAt.Sub(d.ReportedAfter) >= p.maxSilence():
		return evidenceLapsed
	case end.aliveAt.Sub(d.RemovedAt) > maxRemovalLead:
		return evidenceLeftBefore
	}
	return evidenceLeft
}

// maxWait is how long the removal of an entry, or a report, is waited for. The entry of an upstream that
// crashed lapses two report intervals later at the earliest.
func (p PlannedExits) maxWait(end processEnd) time.Duration {
	if end.uncertain {
		return min(3*p.ReportInterval, maxReportWait)
	}
	return min(p.ReportInterval*3/2, maxDepartureWait)
}

// maxSilence is the longest time between an upstream's last report and the removal of its entry in which
// the entry can't have lapsed. It leaves half an interval for delays on the way from the store.
func (p PlannedExits) maxSilence() time.Duration { return p.ReportInterval * 5 / 2 }
