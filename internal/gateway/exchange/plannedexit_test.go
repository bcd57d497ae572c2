package exchange

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/gateway/catalog"
	"mangoledge.example/mangoledge/internal/gateway/site"
)

// TestOnlyARemovalByTheUpstreamItselfIsTakenForAPlannedExit guards against ends that a crash can have too and
// that are taken for planned exits, and against planned exits that are not recognized.
func TestOnlyARemovalByTheUpstreamItselfIsTakenForAPlannedExit(t *testing.T) {
	const interval = 1200 * time.Millisecond
	exits := PlannedExits{DrainTime: 2 * time.Second, ReportInterval: interval}
	ended := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return ended.Add(d) }
	// departed is an upstream that drained for 3 s, ended 1 s after its last report and removed its entry.
	departed := func(change func(d *catalog.Departure)) catalog.Departure {
		d := catalog.Departure{
			Last: site.Upstream{Draining: true}, DrainingAfter: at(-3 * time.Second),
			ReportedAfter: at(-time.Second), RemovedAt: at(150 * time.Millisecond),
		}
		change(&d)
		return d
	}
	for name, c := range map[string]struct {
		change func(d *catalog.Departure)
		after  time.Duration
		want   endEvidence
	}{
		"left":                              {func(*catalog.Departure) {}, 150 * time.Millisecond, evidenceLeft},
		"left, first seen draining":         {func(d *catalog.Departure) { d.DrainingAfter = time.Time{} }, 0, evidenceLeft},
		"left, seen just before the end":    {func(d *catalog.Departure) { d.RemovedAt = at(-maxRemovalLead) }, 0, evidenceLeft},
		"removed long before the end":       {func(d *catalog.Departure) { d.RemovedAt = at(-maxRemovalLead - 1) }, 0, evidenceLeftBefore},
		"ends at a set time":                {func(d *catalog.Departure) { d.Last.LeavesIn = time.Second }, 0, evidenceReclaimed},
		"never reported draining":           {func(d *catalog.Departure) { d.Last.Draining = false }, 0, evidenceNotLeaving},
		"before the drain time is over":     {func(d *catalog.Departure) { d.DrainingAfter = at(-exits.DrainTime + 1) }, 0, evidenceTooEarly},
		"still listed":                      {func(d *catalog.Departure) { d.RemovedAt = time.Time{} }, maxDepartureWait - 1, evidencePending},
		"still listed after the wait":       {func(d *catalog.Departure) { d.RemovedAt = time.Time{} }, maxDepartureWait, evidenceStillListed},
		"lapsed":                            {func(d *catalog.Departure) { d.ReportedAfter = d.RemovedAt.Add(-3 * interval) }, 0, evidenceLapsed},
		"lapsed, with a delay of the store": {func(d *catalog.Departure) { d.ReportedAfter = d.RemovedAt.Add(-5 * interval / 2) }, 0, evidenceLapsed},
		"last report unknown":               {func(d *catalog.Departure) { d.ReportedAfter = time.Time{} }, 0, evidenceLapsed},
	} {
		d := departed(c.change)
		require.Equal(t, c.want, exits.judge(&d, processEnd{aliveAt: ended, at: ended}, at(c.after)), name)
	}
	for name, c := range map[string]struct {
		change    func(d *catalog.Departure)
		uncertain bool
		after     time.Duration
		want      endEvidence
	}{
		"a later report": {func(d *catalog.Departure) { d.ReportedAfter = at(maxReportDelay + 1) }, false, 0, evidenceReported},
		"a later report, not draining": {
			func(d *catalog.Departure) { d.ReportedAfter, d.Last.Draining = at(maxReportDelay+1), false }, true, 0, evidenceReported,
		},
		"a report that may be an earlier one":       {func(d *catalog.Departure) { d.ReportedAfter = at(maxReportDelay) }, false, 0, evidencePending},
		"not draining, may be replaced":             {func(d *catalog.Departure) { d.Last.Draining = false }, true, maxReportWait - 1, evidencePending},
		"not draining, no report":                   {func(d *catalog.Departure) { d.Last.Draining = false }, true, maxReportWait, evidenceNotLeaving},
		"reports no more, and its entry is removed": {func(d *catalog.Departure) { d.Last.Draining, d.RemovedAt = false, ended }, true, 0, evidenceNotLeaving},
	} {
		d := departed(func(d *catalog.Departure) { d.RemovedAt = time.Time{}; c.change(d) })
		require.Equal(t, c.want, exits.judge(&d, processEnd{aliveAt: ended, at: ended, uncertain: c.uncertain}, at(c.after)), name)
	}
	before := departed(func(d *catalog.Departure) { d.RemovedAt = at(-2 * time.Second); d.ReportedAfter = at(-3 * time.Second) })
	require.Equal(t, evidenceLeft, exits.judge(&before, processEnd{aliveAt: at(-2 * time.Second), at: ended, uncertain: true}, ended), "read late")
	unknown, d := PlannedExits{}, departed(func(*catalog.Departure) {})
	require.Equal(t, evidenceLapsed, unknown.judge(&d, processEnd{aliveAt: ended, at: ended}, ended), "without a known report interval")
}

// TestWaitForARemovalEndsBeforeAnEntryCanLapse guards against the lapse of a crashed upstream's entry that is
// seen during the wait.
func TestWaitForARemovalEndsBeforeAnEntryCanLapse(t *testing.T) {
	for _, interval := range []time.Duration{0, 100 * time.Millisecond, 1200 * time.Millisecond, time.Minute} {
		p := PlannedExits{ReportInterval: interval}
		require.LessOrEqual(t, p.maxWait(processEnd{}), 2*interval)
		require.LessOrEqual(t, p.maxWait(processEnd{}), maxDepartureWait)
		require.LessOrEqual(t, p.maxWait(processEnd{uncertain: true}), maxReportWait)
	}
}
