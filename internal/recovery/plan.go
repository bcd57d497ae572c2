package recovery

import (
	"time"
)

// NoticeMargin is the time kept free behind a stream that stays to its end.
const NoticeMargin = 250 * time.Millisecond

// exportMargin is the time kept free behind an export. An export that comes too
// late costs its stream a pause, where a stay that does costs it a prefill too.
const exportMargin = 100 * time.Millisecond

// Plan is how a stream goes on.
type Plan struct {
	Method Method
	// Pause is how long the stream stands still, as far as can be foreseen.
	Pause time.Duration
	// Recomputed is how many tokens are computed again.
	Recomputed int
}

// Choose returns the plan that costs the least in the notice that is left.
func Choose(stream Stream, source Source, target Target) Plan {
	if source.Reachable && !source.Leaving {
		return Plan{Method: MethodResume, Pause: target.RoundTrip}
	}
	if staysToEnd(stream, source) {
		return Plan{Method: MethodStay}
	}
	prefill := prefillPlan(stream, target)
	transfer, ok := transferPlan(stream, source, target)
	if ok && transfer.Pause <= prefill.Pause+computeTime(prefill, target) {
		return transfer
	}
	return prefill
}

// computeTime returns how long the target computes tokens again, time that other requests lose.
func computeTime(plan Plan, target Target) time.Duration {
	if target.PrefillPerSecond <= 0 {
		return 0
	}
	return seconds(float64(plan.Recomputed) / target.PrefillPerSecond)
}

func staysToEnd(stream Stream, source Source) bool {
	if !source.Reachable || source.Assumed {
		return false
	}
	left := time.Duration(stream.Remaining) * source.PerToken
	return left+NoticeMargin <= source.Notice
}

func prefillPlan(stream Stream, target Target) Plan {
	tokens := max(0, stream.PromptTokens+stream.Generated-target.CachedTokens)
	pause := target.RoundTrip
	if target.PrefillPerSecond > 0 {
		pause += seconds(float64(tokens) / target.PrefillPerSecond)
	}
	return Plan{Method: MethodPrefill, Pause: pause, Recomputed: tokens}
}

// transferPlan is false when a transfer can't be done before the notice ends.
func transferPlan(stream Stream, source Source, target Target) (Plan, bool) {
	if !source.Reachable || !source.Exports || !target.Imports || source.BytesPerSecond <= 0 {
		return Plan{}, false
	}
	ends := seconds(float64(source.Ahead+stream.KVBytes)/source.BytesPerSecond) + 2*target.RoundTrip
	if ends+exportMargin > source.Notice {
		return Plan{}, false
	}
	pause := seconds(float64(stream.KVBytes)/source.BytesPerSecond) + 2*target.RoundTrip
	return Plan{Method: MethodTransfer, Pause: pause}, true
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
