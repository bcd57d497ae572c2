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

// leavingUpstream is a Router and Reclaims that know one upstream, u1.
type leavingUpstream struct {
	leaving   bool
	reclaimAt time.Time
}

func (l *leavingUpstream) Pick(context.Context, *Need) (Placement, error) { return nil, nil }
func (l *leavingUpstream) Leaving(ident.Upstream) bool                    { return l.leaving }
func (l *leavingUpstream) MarkLeaving(ident.Upstream)                     { l.leaving = true }
func (l *leavingUpstream) ReclaimAt(ident.Upstream) time.Time             { return l.reclaimAt }

// heldPlace is a place at u2 that has tokens of the prompt cached.
type heldPlace struct{ cached int }

func (p heldPlace) Upstream() fleet.Upstream  { return fleet.Upstream{ID: "u2"} }
func (p heldPlace) CachedTokens() int         { return p.cached }
func (heldPlace) Done(Outcome, time.Duration) {}

// readingOf reads a stream of model m at u1 with tokens there and left to come.
func readingOf(known *leavingUpstream, prompt, generated, left int) *reading {
	d := &Dispatcher{options: Options{Router: known, Reclaims: known}, costs: newCosts()}
	e := newEntry(request.Record{
		Spec:   request.Spec{Model: "m", Input: strings.Repeat("abc ", prompt), MaxTokens: generated + left, Idempotent: true},
		Tokens: make([]string, generated),
	}, nil)
	r := d.newReading(context.Background(), e, "", "u1", "http://u1")
	for at, i := time.Unix(0, 0), 0; i <= minPaceSamples; i++ {
		r.pace.token(at.Add(time.Duration(i) * 10 * time.Millisecond))
	}
	return r
}

func TestWhatIsKnownOfAStreamDecidesHowItGoesOn(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	in := func(d time.Duration) time.Time { return now.Add(d) }
	for _, c := range []struct {
		name      string
		known     leavingUpstream
		prompt    int
		generated int
		left      int
		cached    int
		noExport  bool
		ahead     int64
		method    recovery.Method
		says      string
	}{
		{"not leaving", leavingUpstream{}, 3000, 100, 500, 0, false, 0, recovery.MethodResume, "the upstream is not leaving"},
		{"ends in time", leavingUpstream{true, in(5 * time.Second)}, 3000, 100, 300, 0, false, 0, recovery.MethodStay, "5s of notice are left"},
		{"moves in time", leavingUpstream{true, in(5 * time.Second)}, 3000, 100, 900, 0, false, 0, recovery.MethodTransfer, "its cache of about 1023 MB"},
		{"nobody said when", leavingUpstream{true, time.Time{}}, 3000, 100, 10, 0, false, 0, recovery.MethodTransfer, "nobody has said when"},
		{"others are ahead", leavingUpstream{true, in(5 * time.Second)}, 3000, 100, 900, 0, false, 14e9, recovery.MethodPrefill, "waits for 14000 MB"},
		{"no time to move", leavingUpstream{true, in(400 * time.Millisecond)}, 3000, 100, 900, 0, false, 0, recovery.MethodPrefill, "about 3100 tokens are computed again"},
		{"cached elsewhere", leavingUpstream{true, in(5 * time.Second)}, 3000, 100, 900, 2900, false, 0, recovery.MethodPrefill, "2900 of them cached"},
		{"an export has failed", leavingUpstream{true, in(5 * time.Second)}, 3000, 100, 900, 0, true, 0, recovery.MethodPrefill, "can't be exported"},
		{"no token yet", leavingUpstream{true, in(5 * time.Second)}, 3000, 0, 900, 0, false, 0, recovery.MethodPrefill, "can't be exported"},
		{"the notice is over", leavingUpstream{true, in(-time.Second)}, 3000, 100, 1, 0, false, 0, recovery.MethodPrefill, "the notice is over"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := readingOf(&c.known, c.prompt, c.generated, c.left)
			r.departure = &departure{reading: r, target: heldPlace{c.cached}, noExport: c.noExport}
			r.d.costs.ahead["u1"] = c.ahead
			q := r.question(now)
			plan := r.d.costs.choose(q, true)
			require.Equal(t, c.method, plan.Method)
			require.Contains(t, q.note(plan), c.says)
			require.Equal(t, 10*time.Millisecond, q.source.TokenInterval)
		})
	}
}

func TestExportsOfANodeWaitForEachOther(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	known := &leavingUpstream{true, now.Add(2 * time.Second)}
	r := readingOf(known, 3000, 100, 900)
	var methods []recovery.Method
	for range 6 {
		methods = append(methods, r.d.costs.choose(r.question(now), true).Method)
	}
	// One takes 0.34 s at the presumed rate, and 1.9 s may be used.
	require.Equal(t, []recovery.Method{"transfer", "transfer", "transfer", "transfer", "transfer", "prefill"}, methods)
	r.d.costs.exportEnded("u1", 3100*presumedKVBytesPerToken)
	require.Equal(t, recovery.MethodTransfer, r.d.costs.choose(r.question(now), false).Method)
}

func TestCostsAreLearnt(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	r := readingOf(&leavingUpstream{true, now.Add(2 * time.Second)}, 3000, 100, 900)
	require.Equal(t, recovery.MethodTransfer, r.d.costs.choose(r.question(now), false).Method)
	for range 40 {
		r.d.costs.exported("m", 3100, 3100*presumedKVBytesPerToken, 5*time.Second, true)
	}
	slow := r.question(now)
	require.Equal(t, recovery.MethodPrefill, r.d.costs.choose(slow, false).Method, "exports are slower than was presumed")
	require.InEpsilon(t, 3100*presumedKVBytesPerToken/5.0, slow.source.ExportBytesPerSecond, 0.01)
	for range 40 {
		r.d.costs.exported("m", 3100, 3100*1000, time.Millisecond, true)
	}
	small := r.question(now)
	require.Equal(t, recovery.MethodTransfer, r.d.costs.choose(small, false).Method, "caches are smaller than was presumed")
	require.InEpsilon(t, 3100*1000, small.stream.KVBytes, 0.01)
	for range 40 {
		r.d.costs.prefilled("m", 3100, 5*time.Millisecond)
	}
	require.Equal(t, recovery.MethodPrefill, r.d.costs.choose(r.question(now), false).Method, "prefills are faster than was presumed")
	r.d.costs.prefilled("other", minPrefillSample-1, time.Hour)
	require.EqualValues(t, presumedPrefillRate, r.d.costs.model("other").prefillPerSecond, "too little to learn from")
}

func TestThePaceIsOfTheLastTokens(t *testing.T) {
	var p pace
	require.Equal(t, admission.TypicalTokenLatency, p.perToken())
	at := time.Unix(0, 0)
	for range minPaceSamples + 1 {
		p.token(at)
		at = at.Add(5 * time.Millisecond)
	}
	require.Equal(t, 5*time.Millisecond, p.perToken())
	p.interrupt()
	p.token(at.Add(time.Hour))
	require.Equal(t, 5*time.Millisecond, p.perToken(), "the time without a connection doesn't count")
	at = at.Add(time.Hour)
	for range 100 {
		at = at.Add(50 * time.Millisecond)
		p.token(at)
	}
	require.InEpsilon(t, float64(50*time.Millisecond), float64(p.perToken()), 0.01)
}

func TestAPlaceThatIsKeptIsGivenBackOnce(t *testing.T) {
	e := newEntry(request.Record{}, nil)
	first, second := &countedPlace{}, &countedPlace{}
	e.reserve(first)
	e.reserve(second)
	require.Equal(t, 1, first.done)
	require.Equal(t, Placement(second), e.takeReserved())
	require.Nil(t, e.takeReserved())
	e.reserve(nil)
	require.Zero(t, second.done, "the attempt that took it gives it back")
}

// countedPlace counts how often it is given back.
type countedPlace struct {
	heldPlace
	done int
}

func (p *countedPlace) Done(Outcome, time.Duration) { p.done++ }
