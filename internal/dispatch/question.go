package dispatch

import (
	"fmt"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/recovery"
)

// question is what a plan for a stream is made from.
type question struct {
	upstream ident.Upstream
	model    ident.Model
	stream   recovery.Stream
	source   recovery.Source
	target   recovery.Target
}

const (
	// assumedNotice is the notice of an upstream that is leaving when nobody has said when it goes.
	assumedNotice = 2 * time.Second
	// callTime is the time of a small call of an upstream.
	callTime = 2 * time.Millisecond
	// noteUnit is the precision of times in notes.
	noteUnit = 10 * time.Millisecond
	// bytesPerMegabyte is the unit of sizes in notes.
	bytesPerMegabyte = 1e6
)

// question asks how the stream is to go on.
func (r *reading) question(now time.Time) *question {
	record := r.e.snapshot()
	q := &question{
		upstream: r.upstream,
		model:    r.e.spec.Model,
		stream: recovery.Stream{
			PromptTokens:    r.e.spec.EstimatePromptTokens(),
			GeneratedTokens: len(record.Tokens),
			RemainingTokens: max(0, r.e.spec.MaxTokens-len(record.Tokens)),
		},
		source: recovery.Source{Reachable: true, TokenInterval: r.pace.perToken()},
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
	p := r.departure
	q.source.CanExport = q.stream.GeneratedTokens > 0 && (p == nil || !p.noExport)
	if p != nil && p.target != nil {
		q.target.CachedTokens = p.target.CachedTokens()
	}
	return q
}

// note tells a person what was chosen and from what.
func (q *question) note(plan recovery.Plan) string {
	return q.choice(plan) + "; " + q.notice() + ", " + q.remaining() + ", " + q.cache() + ", " + q.prefill()
}

func (q *question) choice(plan recovery.Plan) string {
	switch plan.Method {
	case recovery.MethodStay:
		return "the stream stays to its end, and nothing is computed again"
	case recovery.MethodResume:
		return "the stream is attached to where it runs, and nothing is computed again"
	case recovery.MethodTransfer:
		return fmt.Sprintf("its KV cache moves to another upstream in about %s, and nothing is computed again", short(plan.Pause))
	case recovery.MethodPrefill:
		return fmt.Sprintf("about %d tokens are computed again at another upstream in about %s", plan.RecomputedTokens, short(plan.Pause))
	}
	return string(plan.Method)
}

func (q *question) notice() string {
	switch {
	case !q.source.Leaving:
		return "the upstream is not leaving"
	case q.source.NoticeAssumed:
		return fmt.Sprintf("nobody has said when the upstream goes, so %s are assumed", short(q.source.Notice))
	case !q.source.Reachable:
		return "the notice is over"
	}
	return short(q.source.Notice) + " of notice are left"
}

func (q *question) remaining() string {
	return fmt.Sprintf("at most %d tokens are to come, one each %s", q.stream.RemainingTokens, q.source.TokenInterval.Round(time.Millisecond))
}

func (q *question) cache() string {
	if !q.source.CanExport {
		return "its cache can't be exported"
	}
	return fmt.Sprintf("its cache of about %.0f MB waits for %.0f MB of others at %.0f MB/s",
		megabytes(q.stream.KVBytes), megabytes(q.source.QueuedExportBytes), q.source.ExportBytesPerSecond/bytesPerMegabyte)
}

func (q *question) prefill() string {
	return fmt.Sprintf("a prefill elsewhere is of %d tokens, %d of them cached, at %.0f a second",
		q.stream.PromptTokens+q.stream.GeneratedTokens, q.target.CachedTokens, q.target.PrefillTokensPerSecond)
}

func megabytes(bytes int64) float64 {
	return float64(bytes) / bytesPerMegabyte
}

func short(d time.Duration) string {
	return d.Round(noteUnit).String()
}
