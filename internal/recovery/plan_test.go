package recovery

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"
)

func source(notice time.Duration) Source {
	return Source{
		Reachable: true, Leaving: true, Notice: notice, TokenInterval: 30 * time.Millisecond,
		CanExport: true, ExportBytesPerSecond: 3e9,
	}
}

func target() Target {
	return Target{CanImport: true, PrefillTokensPerSecond: 5000, RoundTrip: 2 * time.Millisecond}
}

func stream(prompt, generated, remaining int) Stream {
	return Stream{PromptTokens: prompt, GeneratedTokens: generated, RemainingTokens: remaining, KVBytes: int64(prompt+generated) * 330_000}
}

func TestChooseTakesTheCheapestMethod(t *testing.T) {
	require.Equal(t, MethodStay, Choose(stream(3000, 100, 20), source(5*time.Second), target()).Method)
	moved := Choose(stream(3000, 100, 500), source(5*time.Second), target())
	require.Equal(t, MethodTransfer, moved.Method)
	require.Zero(t, moved.RecomputedTokens)
	short := Choose(stream(3000, 100, 500), source(400*time.Millisecond), target())
	require.Equal(t, MethodPrefill, short.Method, "the export would end after the notice period")
	require.Equal(t, 3100, short.RecomputedTokens)
	busy := source(5 * time.Second)
	busy.QueuedExportBytes = 14e9
	require.Equal(t, MethodPrefill, Choose(stream(3000, 100, 500), busy, target()).Method)
	cached := target()
	cached.CachedTokens = 3000
	require.Equal(t, MethodPrefill, Choose(stream(3000, 100, 500), source(5*time.Second), cached).Method)
	lost := source(5 * time.Second)
	lost.Reachable = false
	require.Equal(t, MethodPrefill, Choose(stream(3000, 100, 1), lost, target()).Method)
	assumed := source(5 * time.Second)
	assumed.NoticeAssumed = true
	require.Equal(t, MethodTransfer, Choose(stream(3000, 100, 20), assumed, target()).Method, "a guessed notice period does not permit a stay")
	silent := Source{Reachable: true}
	require.Equal(t, MethodResume, Choose(stream(3000, 100, 500), silent, target()).Method)
}

func TestPlansThatNeedTheSourceEndBeforeTheNotice(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(2)
	parameters.MinSuccessfulTests = 1000
	properties := gopter.NewProperties(parameters)
	properties.Property("the plan completes within the notice period", prop.ForAll(func(prompt, generated, remaining, noticeMs int, queuedBytes int64) bool {
		s := source(time.Duration(noticeMs) * time.Millisecond)
		s.QueuedExportBytes = queuedBytes
		str := stream(prompt, generated, remaining)
		switch Choose(str, s, target()).Method {
		case MethodStay:
			return time.Duration(remaining)*s.TokenInterval+StayMargin <= s.Notice
		case MethodTransfer:
			return float64(queuedBytes+str.KVBytes)/s.ExportBytesPerSecond+exportMargin.Seconds() < s.Notice.Seconds()
		case MethodPrefill:
			return true
		case MethodResume:
			return false
		}
		return false
	}, gen.IntRange(0, 8000), gen.IntRange(0, 1000), gen.IntRange(0, 1000), gen.IntRange(0, 10000), gen.Int64Range(0, 30e9)))
	properties.TestingRun(t)
}
