package recovery

import (
	"time"
)

// StayMargin is the minimum time between the expected end of a stream that stays
// and the end of the notice period.
const StayMargin = 250 * time.Millisecond

// exportMargin is the minimum time between the expected end of an export and the end
// of the notice period. It is the smaller margin because an export that is too late
// costs its stream a pause, and a stay that is too late costs a prefill as well.
const exportMargin = 100 * time.Millisecond

// Plan is the chosen method for a stream and its expected cost.
type Plan struct {
	Method Method
	// Pause is the estimated time without new tokens.
	Pause time.Duration
	// RecomputedTokens is the number of tokens that are prefilled again.
	RecomputedTokens int
}

// Choose returns the cheapest plan that is possible in the rest of the notice period.
func Choose(stream Stream, source Source, target Target) Plan {
	if source.Reachable && !source.Leaving {
		return Plan{Method: MethodResume, Pause: target.RoundTrip}
	}
	if canStay(stream, source) {
		return Plan{Method: MethodStay}
	}
	prefill := prefillPlan(stream, target)
	transfer, ok := transferPlan(stream, source, target)
	if ok && transfer.Pause <= prefill.Pause+recomputeTime(prefill, target) {
		return transfer
	}
	return prefill
}

// recomputeTime returns the time that the target spends on prefilling the tokens
// again, which it can't spend on other requests.
func recomputeTime(plan Plan, target Target) time.Duration {
	if target.PrefillTokensPerSecond <= 0 {
		return 0
	}
	return seconds(float64(plan.RecomputedTokens) / target.PrefillTokensPerSecond)
}

// canStay reports whether the stream is expected to end within the notice period.
func canStay(stream Stream, source Source) bool {
	if !source.Reachable || source.NoticeAssumed {
		return false
	}
	left := time.Duration(stream.RemainingTokens) * source.TokenInterval
	return left+StayMargin <= source.Notice
}

// prefillPlan returns the plan for MethodPrefill.
func prefillPlan(stream Stream, target Target) Plan {
	tokens := max(0, stream.PromptTokens+stream.GeneratedTokens-target.CachedTokens)
	pause := target.RoundTrip
	if target.PrefillTokensPerSecond > 0 {
		pause += seconds(float64(tokens) / target.PrefillTokensPerSecond)
	}
	return Plan{Method: MethodPrefill, Pause: pause, RecomputedTokens: tokens}
}

// transferPlan returns the plan for MethodTransfer, or false if a transfer is not
// possible or would not complete within the notice period.
func transferPlan(stream Stream, source Source, target Target) (Plan, bool) {
	if !source.Reachable || !source.CanExport || !target.CanImport || source.ExportBytesPerSecond <= 0 {
		return Plan{}, false
	}
	ends := seconds(float64(source.QueuedExportBytes+stream.KVBytes)/source.ExportBytesPerSecond) + 2*target.RoundTrip
	if ends+exportMargin > source.Notice {
		return Plan{}, false
	}
	pause := seconds(float64(stream.KVBytes)/source.ExportBytesPerSecond) + 2*target.RoundTrip
	return Plan{Method: MethodTransfer, Pause: pause}, true
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
