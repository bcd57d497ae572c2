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
		require.Equal(t, c.want, exits.judge(&d, ended, at(c.after)), name)
	}
	unknown, d := PlannedExits{}, departed(func(*catalog.Departure) {})
	require.Equal(t, evidenceLapsed, unknown.judge(&d, ended, ended), "without a known report interval")
}

// TestWaitForARemovalEndsBeforeAnEntryCanLapse guards against the lapse of a crashed upstream's entry that is
// seen during the wait.
func TestWaitForARemovalEndsBeforeAnEntryCanLapse(t *testing.T) {
	for _, interval := range []time.Duration{0, 100 * time.Millisecond, 1200 * time.Millisecond, time.Minute} {
		p := PlannedExits{ReportInterval: interval}
		require.LessOrEqual(t, p.maxWait(), 2*interval)
		require.LessOrEqual(t, p.maxWait(), maxDepartureWait)
	}
}
