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

func ask(w string, priority int, worth float64, cost, deadline time.Duration) *Request {
	return &Request{
		Workspace: ident.Workspace(w), Pool: model, Priority: request.Priority(priority),
		Worth: worth, Cost: cost, Deadline: start.Add(deadline),
	}
}

// Whatever is asked, handed out, released: no lane above its bound, no workspace
// above its limit, nothing handed out that can't meet its deadline, every ticket
// settled at most once, counters only grow, refusals say that nothing was run.
func TestControllerKeepsItsBounds(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(3)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	properties.Property("bounds", prop.ForAll(playController, gen.SliceOfN(200, gen.IntRange(0, 999))))
	properties.TestingRun(t)
}

func playController(steps []int) bool {
	p := newPlayer()
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
	playedBound = 5
	playedLimit = 6
)

// player plays random steps against a controller and checks its bounds.
type player struct {
	controller *Controller
	now        time.Time
	shed       map[*Ticket]int
	running    []*Ticket
	before     Counters
	ok         bool
}

func newPlayer() *player {
	p := &player{now: start, shed: make(map[*Ticket]int), ok: true}
	p.controller = NewController(Settings{
		MaxQueued:   playedBound,
		MaxInFlight: func(ident.Workspace) int { return playedLimit },
		OnShed: func(t *Ticket, refusal *verdict.Error) {
			p.shed[t]++
			p.ok = p.ok && refusal.Verdict == verdict.NotRun && p.shed[t] == 1
		},
	})
	return p
}

func (p *player) admit(s int) {
	r := ask(fmt.Sprint(s%4), s%10, float64(1+s%5), time.Duration(s)*time.Millisecond, 0)
	r.Deadline = p.now.Add(time.Duration(2*s) * time.Millisecond)
	t, refusal := p.controller.Admit(p.now, r)
	p.ok = p.ok && (t == nil) == (refusal != nil)
	p.ok = p.ok && (refusal == nil || refusal.Verdict == verdict.NotRun)
}

func (p *player) next() {
	t, found := p.controller.Next(p.now, model)
	if !found {
		return
	}
	p.running = append(p.running, t)
	p.ok = p.ok && !p.now.Add(t.Request.Cost).After(t.Request.Deadline) && p.shed[t] == 0
}

func (p *player) release() {
	if len(p.running) == 0 {
		return
	}
	p.controller.Release(p.now, p.running[0])
	p.controller.Release(p.now, p.running[0])
	p.running = p.running[1:]
}

func (p *player) check() {
	c := p.controller
	for _, n := range c.accepted {
		p.ok = p.ok && n <= playedLimit
	}
	waiting := c.Waiting(model)
	k := c.Counters()
	p.ok = p.ok && waiting <= playedBound && notLess(k, p.before)
	p.ok = p.ok && int(k.Accepted) == int(k.Shed+k.Released)+len(p.running)+waiting
	p.before = k
}

func notLess(a, b Counters) bool {
	return a.Accepted >= b.Accepted && a.Refused >= b.Refused && a.Shed >= b.Shed &&
		a.Dispatched >= b.Dispatched && a.Released >= b.Released
}

// Workspaces that always have something waiting get service by their shares,
// whatever the sizes of their requests.
func TestSharesAreFair(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(4)
	parameters.MinSuccessfulTests = 60
	properties := gopter.NewProperties(parameters)
	properties.Property("by shares, within one request", prop.ForAll(func(shareA, shareB, costA, costB int) bool {
		shares := map[ident.Workspace]float64{"a": float64(shareA), "b": float64(shareB)}
		c := NewController(Settings{Share: func(w ident.Workspace) float64 { return shares[w] }})
		costs := map[string]time.Duration{"a": time.Duration(costA) * time.Millisecond, "b": time.Duration(costB) * time.Millisecond}
		served := map[ident.Workspace]float64{}
		fill := func(w string) {
			_, refusal := c.Admit(start, ask(w, 5, 1, costs[w], time.Hour))
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

func TestSmallWorkspaceIsServedBesideAFlood(t *testing.T) {
	c := NewController(Settings{MaxQueued: 50})
	for range 200 {
		_, _ = c.Admit(start, ask("large", 9, 5, time.Second, time.Hour))
	}
	small, refusal := c.Admit(start, ask("small", 0, 1, time.Second, time.Hour))
	require.Nil(t, refusal, "the full queue makes room")
	require.LessOrEqual(t, c.Waiting(model), 50)
	first, _ := c.Next(start, model)
	second, _ := c.Next(start, model)
	require.Contains(t, []*Ticket{first, second}, small)
}

func TestUrgentGoesFirstAndWaitingMakesUrgent(t *testing.T) {
	c := NewController(Settings{})
	low, _ := c.Admit(start, ask("w", 0, 1, time.Second, time.Hour))
	high, _ := c.Admit(start, ask("w", 9, 1, time.Second, time.Hour))
	first, _ := c.Next(start, model)
	require.Same(t, high, first)
	later := start.Add(10 * agingStep)
	_, _ = c.Admit(later, ask("w", 9, 1, time.Second, time.Hour))
	second, _ := c.Next(later, model)
	require.Same(t, low, second)
}

func TestInfeasibleIsRefusedAndWorthDisplaces(t *testing.T) {
	var shed []*Ticket
	c := NewController(Settings{OnShed: func(t *Ticket, _ *verdict.Error) { shed = append(shed, t) }})
	_, refusal := c.Admit(start, ask("w", 5, 1, time.Minute, time.Second))
	require.Equal(t, verdict.CodeDeadlineUnlikely, refusal.Code)
	for range 20 {
		_, refusal = c.Admit(start, ask("w", 5, 1, time.Second, time.Minute))
		require.Nil(t, refusal)
	}
	_, refusal = c.Admit(start, ask("w", 5, 0.5, time.Second, 10*time.Second))
	require.Equal(t, verdict.CodeDeadlineUnlikely, refusal.Code)
	require.Positive(t, refusal.RetryAfter)
	require.Empty(t, shed)
	_, refusal = c.Admit(start, ask("w", 5, 10, time.Second, 10*time.Second))
	require.Nil(t, refusal)
	require.NotEmpty(t, shed)
	for _, ticket := range shed {
		<-ticket.Settled()
		require.Equal(t, verdict.NotRun, ticket.Refusal().Verdict)
	}
}

// A waiting request is told as soon as its deadline can't be met any more, also
// when others go before it, and is told when to come back.
func TestExpireTellsAtOnceWhatWaitsInVain(t *testing.T) {
	shed := make(map[*Ticket]int)
	c := NewController(Settings{OnShed: func(t *Ticket, _ *verdict.Error) { shed[t]++ }})
	var short []*Ticket
	for range 4 {
		ticket, refusal := c.Admit(start, ask("w", 0, 1, time.Second, 5*time.Second))
		require.Nil(t, refusal)
		short = append(short, ticket)
	}
	long, refusal := c.Admit(start, ask("w", 9, 1, time.Second, time.Hour))
	require.Nil(t, refusal)
	latest := c.LatestStart(short[0])
	require.Equal(t, start.Add(5*time.Second-1250*time.Millisecond), latest)
	c.Expire(latest)
	require.Empty(t, shed, "it may still start")
	require.Nil(t, c.Overdue(latest, short[0]))
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

// BenchmarkAdmission admits, hands out and releases with 100 workspaces waiting.
func BenchmarkAdmission(b *testing.B) {
	c := NewController(Settings{MaxQueued: 1 << 20})
	for i := range 1000 {
		_, _ = c.Admit(start, ask(fmt.Sprint(i%100), i%10, 1, time.Second, 1000*time.Hour))
	}
	r := ask("1", 5, 1, time.Second, 1000*time.Hour)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = c.Admit(start, r)
		t, _ := c.Next(start, model)
		c.Release(start, t)
	}
}

func TestWorthGoesBeforeEqualPriority(t *testing.T) {
	c := NewController(Settings{})
	for range 5 {
		_, _ = c.Admit(start, ask("w", 5, 1, time.Second, time.Hour))
	}
	worthy, _ := c.Admit(start, ask("w", 5, 4, time.Second, time.Hour))
	first, _ := c.Next(start, model)
	require.Same(t, worthy, first)
	later := start.Add(densitySteps * 2 * agingStep)
	_, _ = c.Admit(later, ask("w", 5, 4, time.Second, time.Hour))
	old, _ := c.Next(later, model)
	require.InDelta(t, 1, old.Request.Worth, 0, "worth does not starve the rest")
}
