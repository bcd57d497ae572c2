package dispatch

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/admission"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/recovery"
	"mangoledge.example/mangoledge/internal/request"
)

// leavingUpstream is a Router and a ReclaimTimes for one upstream.
type leavingUpstream struct {
	leaving   bool
	reclaimAt time.Time
}

func (l *leavingUpstream) Pick(context.Context, *PlacementRequest) (Placement, error) {
	return nil, nil
}
func (l *leavingUpstream) Leaving(ident.Upstream) bool        { return l.leaving }
func (l *leavingUpstream) MarkLeaving(ident.Upstream)         { l.leaving = true }
func (l *leavingUpstream) ReclaimAt(ident.Upstream) time.Time { return l.reclaimAt }

// fakePlacement is a placement at u2, which has tokens of the prompt cached.
type fakePlacement struct{ cached int }

func (p fakePlacement) Upstream() fleet.Upstream     { return fleet.Upstream{ID: "u2"} }
func (p fakePlacement) CachedTokens() int            { return p.cached }
func (fakePlacement) Release(Outcome, time.Duration) {}

// newTestReader returns a reader of a stream of model m at u1 with the given numbers of
// prompt tokens, generated tokens and remaining tokens, 10 ms apart.
func newTestReader(known *leavingUpstream, prompt, generated, remaining int) *streamReader {
	d := &Dispatcher{options: Options{Router: known, ReclaimTimes: known}, costs: newCostModel()}
	e := newEntry(request.Record{
		Spec:   request.Spec{Model: "m", Input: strings.Repeat("abc ", prompt), MaxTokens: generated + remaining, Idempotent: true},
		Tokens: make([]string, generated),
	}, nil)
	r := d.newStreamReader(context.Background(), e, "", "u1", "http://u1")
	for at, i := time.Unix(0, 0), 0; i <= minLatencySamples; i++ {
		r.latency.observe(at.Add(time.Duration(i) * 10 * time.Millisecond))
	}
	return r
}

func TestPlanDependsOnStreamAndUpstream(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	in := func(d time.Duration) time.Time { return now.Add(d) }
	for _, c := range []struct {
		name         string
		known        leavingUpstream
		prompt       int
		generated    int
		remaining    int
		cached       int
		noExport     bool
		pendingBytes int64
		method       recovery.Method
		want         string
	}{
		{"not leaving", leavingUpstream{}, 3000, 100, 500, 0, false, 0, recovery.MethodResume, "the upstream is not leaving"},
		{"ends in time", leavingUpstream{true, in(5 * time.Second)}, 3000, 100, 300, 0, false, 0, recovery.MethodStay, "5s of notice are left"},
		{"exported in time", leavingUpstream{true, in(5 * time.Second)}, 3000, 100, 900, 0, false, 0, recovery.MethodTransfer, "its cache of about 1023 MB"},
		{"reclaim time unknown", leavingUpstream{true, time.Time{}}, 3000, 100, 10, 0, false, 0, recovery.MethodTransfer, "nobody has said when"},
		{"other exports pending", leavingUpstream{true, in(5 * time.Second)}, 3000, 100, 900, 0, false, 14e9, recovery.MethodPrefill, "waits for 14000 MB"},
		{"no time to export", leavingUpstream{true, in(400 * time.Millisecond)}, 3000, 100, 900, 0, false, 0, recovery.MethodPrefill, "about 3100 tokens are computed again"},
		{"cached elsewhere", leavingUpstream{true, in(5 * time.Second)}, 3000, 100, 900, 2900, false, 0, recovery.MethodPrefill, "2900 of them cached"},
		{"an export has failed", leavingUpstream{true, in(5 * time.Second)}, 3000, 100, 900, 0, true, 0, recovery.MethodPrefill, "can't be exported"},
		{"no token yet", leavingUpstream{true, in(5 * time.Second)}, 3000, 0, 900, 0, false, 0, recovery.MethodPrefill, "can't be exported"},
		{"the notice is over", leavingUpstream{true, in(-time.Second)}, 3000, 100, 1, 0, false, 0, recovery.MethodPrefill, "the notice is over"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newTestReader(&c.known, c.prompt, c.generated, c.remaining)
			r.migration = &migration{streamReader: r, target: fakePlacement{c.cached}, exportUnavailable: c.noExport}
			r.d.costs.pendingExportBytes["u1"] = c.pendingBytes
			q := r.collectPlanInputs(now)
			plan := r.d.costs.choosePlan(q, true)
			require.Equal(t, c.method, plan.Method)
			require.Contains(t, q.describe(plan), c.want)
			require.Equal(t, 10*time.Millisecond, q.source.TokenInterval)
		})
	}
}

func TestPlanCountsPendingExports(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	known := &leavingUpstream{true, now.Add(2 * time.Second)}
	r := newTestReader(known, 3000, 100, 900)
	var methods []recovery.Method
	for range 6 {
		methods = append(methods, r.d.costs.choosePlan(r.collectPlanInputs(now), true).Method)
	}
	// One export takes 0.34 s at the initial rate, and 1.9 s are usable.
	require.Equal(t, []recovery.Method{"transfer", "transfer", "transfer", "transfer", "transfer", "prefill"}, methods)
	r.d.costs.removePendingExport("u1", 3100*initialKVBytesPerToken)
	require.Equal(t, recovery.MethodTransfer, r.d.costs.choosePlan(r.collectPlanInputs(now), false).Method)
}

func TestCostModelLearnsFromSamples(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	r := newTestReader(&leavingUpstream{true, now.Add(2 * time.Second)}, 3000, 100, 900)
	require.Equal(t, recovery.MethodTransfer, r.d.costs.choosePlan(r.collectPlanInputs(now), false).Method)
	for range 40 {
		r.d.costs.observeExport("m", 3100, 3100*initialKVBytesPerToken, 5*time.Second, true)
	}
	slow := r.collectPlanInputs(now)
	require.Equal(t, recovery.MethodPrefill, r.d.costs.choosePlan(slow, false).Method, "exports are slower than the initial estimate")
	require.InEpsilon(t, 3100*initialKVBytesPerToken/5.0, slow.source.ExportBytesPerSecond, 0.01)
	for range 40 {
		r.d.costs.observeExport("m", 3100, 3100*1000, time.Millisecond, true)
	}
	small := r.collectPlanInputs(now)
	require.Equal(t, recovery.MethodTransfer, r.d.costs.choosePlan(small, false).Method, "caches are smaller than the initial estimate")
	require.InEpsilon(t, 3100*1000, small.stream.KVBytes, 0.01)
	for range 40 {
		r.d.costs.observePrefill("m", 3100, 5*time.Millisecond)
	}
	require.Equal(t, recovery.MethodPrefill, r.d.costs.choosePlan(r.collectPlanInputs(now), false).Method, "prefills are faster than the initial estimate")
	r.d.costs.observePrefill("other", minPrefillSampleTokens-1, time.Hour)
	require.EqualValues(t, initialPrefillRate, r.d.costs.model("other").prefillPerSecond, "the prefill is too small for a sample")
}

func TestTokenLatencyFollowsRecentTokens(t *testing.T) {
	var p tokenLatency
	require.Equal(t, admission.TypicalTokenLatency, p.perToken())
	at := time.Unix(0, 0)
	for range minLatencySamples + 1 {
		p.observe(at)
		at = at.Add(5 * time.Millisecond)
	}
	require.Equal(t, 5*time.Millisecond, p.perToken())
	p.skipGap()
	p.observe(at.Add(time.Hour))
	require.Equal(t, 5*time.Millisecond, p.perToken(), "the time without a connection is left out")
	at = at.Add(time.Hour)
	for range 100 {
		at = at.Add(50 * time.Millisecond)
		p.observe(at)
	}
	require.InEpsilon(t, float64(50*time.Millisecond), float64(p.perToken()), 0.01)
}

func TestReservedPlacementIsReleasedOnce(t *testing.T) {
	e := newEntry(request.Record{}, nil)
	first, second := &countingPlacement{}, &countingPlacement{}
	e.reserve(first)
	e.reserve(second)
	require.Equal(t, 1, first.releases)
	require.Equal(t, Placement(second), e.takeReserved())
	require.Nil(t, e.takeReserved())
	e.reserve(nil)
	require.Zero(t, second.releases, "the attempt that took the placement releases it")
}

// countingPlacement counts its releases.
type countingPlacement struct {
	fakePlacement
	releases int
}

func (p *countingPlacement) Release(Outcome, time.Duration) { p.releases++ }
