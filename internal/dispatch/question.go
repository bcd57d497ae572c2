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
	// noteUnit is the precision of times in notes.
	noteUnit = 10 * time.Millisecond
	// bytesPerMegabyte is the unit of sizes in notes.
	bytesPerMegabyte = 1e6
)

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
		return fmt.Sprintf("about %d tokens are computed again at another upstream in about %s", plan.Recomputed, short(plan.Pause))
	}
	return string(plan.Method)
}

func (q *question) notice() string {
	switch {
	case !q.source.Leaving:
		return "the upstream is not leaving"
	case q.source.Assumed:
		return fmt.Sprintf("nobody has said when the upstream goes, so %s are assumed", short(q.source.Notice))
	case !q.source.Reachable:
		return "the notice is over"
	}
	return short(q.source.Notice) + " of notice are left"
}

func (q *question) remaining() string {
	return fmt.Sprintf("at most %d tokens are to come, one each %s", q.stream.Remaining, q.source.PerToken.Round(time.Millisecond))
}

func (q *question) cache() string {
	if !q.source.Exports {
		return "its cache can't be exported"
	}
	return fmt.Sprintf("its cache of about %.0f MB waits for %.0f MB of others at %.0f MB/s",
		megabytes(q.stream.KVBytes), megabytes(q.source.Ahead), q.source.BytesPerSecond/bytesPerMegabyte)
}

func (q *question) prefill() string {
	return fmt.Sprintf("a prefill elsewhere is of %d tokens, %d of them cached, at %.0f a second",
		q.stream.PromptTokens+q.stream.Generated, q.target.CachedTokens, q.target.PrefillPerSecond)
}

func megabytes(bytes int64) float64 {
	return float64(bytes) / bytesPerMegabyte
}

func short(d time.Duration) string {
	return d.Round(noteUnit).String()
}
