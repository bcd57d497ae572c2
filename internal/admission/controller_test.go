package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/routing"
	"mangoledge.example/mangoledge/internal/verdict"
)

var (
	start = time.Unix(1000, 0)
	model = routing.Pool{Model: "m"}
)

func newRequest(w string, priority int, worth float64, cost, deadline time.Duration) *Request {
	return &Request{
		Workspace: ident.Workspace(w), Pool: model, Priority: request.Priority(priority),
		Worth: worth, Cost: cost, Deadline: start.Add(deadline),
	}
}

// For random sequences of admissions, dispatches and releases: no queue exceeds its
// limit and no workspace its own, nothing is dispatched that can't meet its deadline,
// every ticket is shed at most once, counters never decrease, and refusals state that
// nothing was run.
func TestControllerInvariants(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(3)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	properties.Property("bounds", prop.ForAll(runControllerSteps, gen.SliceOfN(200, gen.IntRange(0, 999))))
	properties.TestingRun(t)
}

func runControllerSteps(steps []int) bool {
	p := newControllerModel()
	for _, s := range steps {
		p.now = p.now.Add(20 * time.Millisecond)
		switch s % 3 {
		case 0:
			p.admit(s)
		case 1:
			p.next()
		case 2:
			p.release()
		}
		p.check()
	}
	return p.ok
}

const (
	testMaxQueued   = 5
	testMaxInFlight = 6
)

// controllerModel applies random operations to a controller and checks its invariants.
type controllerModel struct {
	controller *Controller
	now        time.Time
	shed       map[*Ticket]int
	running    []*Ticket
	before     Counters
	ok         bool
}

func newControllerModel() *controllerModel {
	p := &controllerModel{now: start, shed: make(map[*Ticket]int), ok: true}
	p.controller = NewController(Settings{
		MaxQueued:   testMaxQueued,
		MaxInFlight: func(ident.Workspace) int { return testMaxInFlight },
		OnShed: func(t *Ticket, refusal *verdict.Error) {
			p.shed[t]++
			p.ok = p.ok && refusal.Verdict == verdict.NotRun && p.shed[t] == 1
		},
	})
	return p
}

func (p *controllerModel) admit(s int) {
	r := newRequest(fmt.Sprint(s%4), s%10, float64(1+s%5), time.Duration(s)*time.Millisecond, 0)
	r.Deadline = p.now.Add(time.Duration(2*s) * time.Millisecond)
	t, refusal := p.controller.Admit(p.now, r)
	p.ok = p.ok && (t == nil) == (refusal != nil)
	p.ok = p.ok && (refusal == nil || refusal.Verdict == verdict.NotRun)
}

func (p *controllerModel) next() {
	t, found := p.controller.Next(p.now, model)
	if !found {
		return
	}
	p.running = append(p.running, t)
	p.ok = p.ok && !p.now.Add(t.Request.Cost).After(t.Request.Deadline) && p.shed[t] == 0
}

func (p *controllerModel) release() {
	if len(p.running) == 0 {
		return
	}
	p.controller.Release(p.now, p.running[0])
	p.controller.Release(p.now, p.running[0])
	p.running = p.running[1:]
}

func (p *controllerModel) check() {
	c := p.controller
	for _, n := range c.accepted {
		p.ok = p.ok && n <= testMaxInFlight
	}
	waiting := c.Waiting(model)
	k := c.Counters()
	p.ok = p.ok && waiting <= testMaxQueued && countersNotLess(k, p.before)
	p.ok = p.ok && int(k.Accepted) == int(k.Shed+k.Released)+len(p.running)+waiting
	p.before = k
}

func countersNotLess(a, b Counters) bool {
	return a.Accepted >= b.Accepted && a.Refused >= b.Refused && a.Shed >= b.Shed &&
		a.Dispatched >= b.Dispatched && a.Released >= b.Released
}

// Workspaces that always have requests waiting are served in proportion to their shares,
// whatever the cost of their requests.
func TestSharesAreFair(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(4)
	parameters.MinSuccessfulTests = 60
	properties := gopter.NewProperties(parameters)
	properties.Property("served in proportion to shares, within one request", prop.ForAll(func(shareA, shareB, costA, costB int) bool {
		shares := map[ident.Workspace]float64{"a": float64(shareA), "b": float64(shareB)}
		c := NewController(Settings{Share: func(w ident.Workspace) float64 { return shares[w] }})
		costs := map[string]time.Duration{"a": time.Duration(costA) * time.Millisecond, "b": time.Duration(costB) * time.Millisecond}
		served := map[ident.Workspace]float64{}
		fill := func(w string) {
			_, refusal := c.Admit(start, newRequest(w, 5, 1, costs[w], time.Hour))
			if refusal != nil {
				panic(refusal)
			}
		}
		for range 3 {
			fill("a")
			fill("b")
		}
		for range 300 {
			ticket, _ := c.Next(start, model)
			served[ticket.Request.Workspace] += ticket.Request.Cost.Seconds()
			c.Release(start, ticket)
			fill(string(ticket.Request.Workspace))
		}
		a, b := served["a"]/shares["a"], served["b"]/shares["b"]
		slack := costs["a"].Seconds()/shares["a"] + costs["b"].Seconds()/shares["b"]
		return a-b <= slack && b-a <= slack
	}, gen.IntRange(1, 9), gen.IntRange(1, 9), gen.IntRange(10, 500), gen.IntRange(10, 500)))
	properties.TestingRun(t)
}

func TestSmallWorkspaceIsServedDuringOverload(t *testing.T) {
	c := NewController(Settings{MaxQueued: 50})
	for range 200 {
		_, _ = c.Admit(start, newRequest("large", 9, 5, time.Second, time.Hour))
	}
	small, refusal := c.Admit(start, newRequest("small", 0, 1, time.Second, time.Hour))
	require.Nil(t, refusal, "refused although the full queue holds another request to shed")
	require.LessOrEqual(t, c.Waiting(model), 50)
	first, _ := c.Next(start, model)
	second, _ := c.Next(start, model)
	require.Contains(t, []*Ticket{first, second}, small)
}

func TestUrgentFirstAndWaitingRaisesUrgency(t *testing.T) {
	c := NewController(Settings{})
	low, _ := c.Admit(start, newRequest("w", 0, 1, time.Second, time.Hour))
	high, _ := c.Admit(start, newRequest("w", 9, 1, time.Second, time.Hour))
	first, _ := c.Next(start, model)
	require.Same(t, high, first)
	later := start.Add(10 * agingStep)
	_, _ = c.Admit(later, newRequest("w", 9, 1, time.Second, time.Hour))
	second, _ := c.Next(later, model)
	require.Same(t, low, second)
}

func TestInfeasibleRequestIsRefusedUnlessItDisplacesOthers(t *testing.T) {
	var shed []*Ticket
	c := NewController(Settings{OnShed: func(t *Ticket, _ *verdict.Error) { shed = append(shed, t) }})
	_, refusal := c.Admit(start, newRequest("w", 5, 1, time.Minute, time.Second))
	require.Equal(t, verdict.CodeDeadlineUnlikely, refusal.Code)
	for range 20 {
		_, refusal = c.Admit(start, newRequest("w", 5, 1, time.Second, time.Minute))
		require.Nil(t, refusal)
	}
	_, refusal = c.Admit(start, newRequest("w", 5, 0.5, time.Second, 10*time.Second))
	require.Equal(t, verdict.CodeDeadlineUnlikely, refusal.Code)
	require.Positive(t, refusal.RetryAfter)
	require.Empty(t, shed)
	_, refusal = c.Admit(start, newRequest("w", 5, 10, time.Second, 10*time.Second))
	require.Nil(t, refusal)
	require.NotEmpty(t, shed)
	for _, ticket := range shed {
		<-ticket.Settled()
		require.Equal(t, verdict.NotRun, ticket.Refusal().Verdict)
	}
}

// A waiting request is shed as soon as its deadline can't be met any more, even if
// others are dispatched before it, and its refusal has a RetryAfter.
func TestExpireShedsOverdueRequestsAtOnce(t *testing.T) {
	shed := make(map[*Ticket]int)
	c := NewController(Settings{OnShed: func(t *Ticket, _ *verdict.Error) { shed[t]++ }})
	var short []*Ticket
	for range 4 {
		ticket, refusal := c.Admit(start, newRequest("w", 0, 1, time.Second, 5*time.Second))
		require.Nil(t, refusal)
		short = append(short, ticket)
	}
	long, refusal := c.Admit(start, newRequest("w", 9, 1, time.Second, time.Hour))
	require.Nil(t, refusal)
	latest := c.LatestStart(short[0])
	require.Equal(t, start.Add(5*time.Second-1250*time.Millisecond), latest)
	c.Expire(latest)
	require.Empty(t, shed, "a request that may still start was shed")
	require.Nil(t, c.OverdueRefusal(latest, short[0]))
	c.Expire(latest.Add(time.Nanosecond))
	require.Len(t, shed, len(short))
	for _, ticket := range short {
		require.Equal(t, 1, shed[ticket])
		<-ticket.Settled()
		require.Equal(t, verdict.NotRun, ticket.Refusal().Verdict)
		require.Positive(t, ticket.Refusal().RetryAfter)
	}
	next, ok := c.Next(latest.Add(time.Second), model)
	require.True(t, ok)
	require.Same(t, long, next)
}

// BenchmarkAdmission admits, dispatches and releases a request while 100 workspaces have requests waiting.
func BenchmarkAdmission(b *testing.B) {
	c := NewController(Settings{MaxQueued: 1 << 20})
	for i := range 1000 {
		_, _ = c.Admit(start, newRequest(fmt.Sprint(i%100), i%10, 1, time.Second, 1000*time.Hour))
	}
	r := newRequest("1", 5, 1, time.Second, 1000*time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = c.Admit(start, r)
		t, _ := c.Next(start, model)
		c.Release(start, t)
	}
}

func TestHigherWorthFirstAtEqualPriority(t *testing.T) {
	c := NewController(Settings{})
	for range 5 {
		_, _ = c.Admit(start, newRequest("w", 5, 1, time.Second, time.Hour))
	}
	worthy, _ := c.Admit(start, newRequest("w", 5, 4, time.Second, time.Hour))
	first, _ := c.Next(start, model)
	require.Same(t, worthy, first)
	later := start.Add(densityBoostSteps * 2 * agingStep)
	_, _ = c.Admit(later, newRequest("w", 5, 4, time.Second, time.Hour))
	old, _ := c.Next(later, model)
	require.InDelta(t, 1, old.Request.Worth, 0, "an older request was starved by higher worth")
}
