package dispatch

import (
	"fmt"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/recovery"
)

// planInputs are the inputs of a recovery plan for a stream.
type planInputs struct {
	upstream ident.Upstream
	model    ident.Model
	stream   recovery.Stream
	source   recovery.Source
	target   recovery.Target
}

const (
	// assumedNotice is the notice assumed for a leaving upstream with unknown reclaim time.
	assumedNotice = 2 * time.Second
	// callTime is the estimated time of a small call to an upstream.
	callTime = 2 * time.Millisecond
	// durationPrecision is the precision of durations in plan descriptions.
	durationPrecision = 10 * time.Millisecond
	// bytesPerMegabyte is the unit of sizes in plan descriptions.
	bytesPerMegabyte = 1e6
)

// collectPlanInputs collects what a plan for the stream needs. The cost estimates are filled
// in by costModel.choosePlan.
func (r *streamReader) collectPlanInputs(now time.Time) *planInputs {
	record := r.e.snapshot()
	q := &planInputs{
		upstream: r.upstream,
		model:    r.e.spec.Model,
		stream: recovery.Stream{
			PromptTokens:    r.e.spec.EstimatePromptTokens(),
			GeneratedTokens: len(record.Tokens),
			RemainingTokens: max(0, r.e.spec.MaxTokens-len(record.Tokens)),
		},
		source: recovery.Source{Reachable: true, TokenInterval: r.latency.perToken()},
		target: recovery.Target{CanImport: true, RoundTrip: callTime},
	}
	q.source.Leaving = r.d.options.Router.Leaving(r.upstream)
	if !q.source.Leaving {
		return q
	}
	at := r.d.reclaimAt(r.upstream)
	q.source.NoticeAssumed = at.IsZero()
	q.source.Notice = assumedNotice
	if !at.IsZero() {
		q.source.Notice = max(0, at.Sub(now))
		q.source.Reachable = q.source.Notice > 0
	}
	m := r.migration
	q.source.CanExport = q.stream.GeneratedTokens > 0 && (m == nil || !m.exportUnavailable)
	if m != nil && m.target != nil {
		q.target.CachedTokens = m.target.CachedTokens()
	}
	return q
}

// describe explains a plan and its inputs to operators.
func (q *planInputs) describe(plan recovery.Plan) string {
	return q.describeMethod(plan) + "; " + q.describeNotice() + ", " + q.describeRemaining() + ", " + q.describeCache() + ", " + q.describePrefill()
}

func (q *planInputs) describeMethod(plan recovery.Plan) string {
	switch plan.Method {
	case recovery.MethodStay:
		return "the stream stays to its end, and nothing is computed again"
	case recovery.MethodResume:
		return "the stream is attached to where it runs, and nothing is computed again"
	case recovery.MethodTransfer:
		return fmt.Sprintf("its KV cache moves to another upstream in about %s, and nothing is computed again", formatDuration(plan.Pause))
	case recovery.MethodPrefill:
		return fmt.Sprintf("about %d tokens are computed again at another upstream in about %s", plan.RecomputedTokens, formatDuration(plan.Pause))
	}
	return string(plan.Method)
}

func (q *planInputs) describeNotice() string {
	switch {
	case !q.source.Leaving:
		return "the upstream is not leaving"
	case q.source.NoticeAssumed:
		return fmt.Sprintf("nobody has said when the upstream goes, so %s are assumed", formatDuration(q.source.Notice))
	case !q.source.Reachable:
		return "the notice is over"
	}
	return formatDuration(q.source.Notice) + " of notice are left"
}

func (q *planInputs) describeRemaining() string {
	return fmt.Sprintf("at most %d tokens are to come, one each %s", q.stream.RemainingTokens, q.source.TokenInterval.Round(time.Millisecond))
}

func (q *planInputs) describeCache() string {
	if !q.source.CanExport {
		return "its cache can't be exported"
	}
	return fmt.Sprintf("its cache of about %.0f MB waits for %.0f MB of others at %.0f MB/s",
		megabytes(q.stream.KVBytes), megabytes(q.source.QueuedExportBytes), q.source.ExportBytesPerSecond/bytesPerMegabyte)
}

func (q *planInputs) describePrefill() string {
	return fmt.Sprintf("a prefill elsewhere is of %d tokens, %d of them cached, at %.0f a second",
		q.stream.PromptTokens+q.stream.GeneratedTokens, q.target.CachedTokens, q.target.PrefillTokensPerSecond)
}

func megabytes(bytes int64) float64 {
	return float64(bytes) / bytesPerMegabyte
}

func formatDuration(d time.Duration) string {
	return d.Round(durationPrecision).String()
}
