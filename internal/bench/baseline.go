package bench

import (
	"math/rand/v2"
	"time"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/routing"
)

const (
	// baselineAttempts is how often a baseline sends a request at most.
	baselineAttempts = 3
	// baselinePause is the pause before a baseline's retry.
	baselinePause = 50 * time.Millisecond
	// baselineSilence is after what time without a token a baseline gives a connection up.
	baselineSilence = 2 * time.Second
)

// baseline is a gateway as it is usually built: each node chooses by itself,
// sends at once and tries again elsewhere after a failure.
type baseline struct {
	world *world
	nodes []*baselineNode
}

type baselineNode struct {
	table  *routing.Table
	router *routing.Router
}

// newBaseline returns a baseline whose nodes choose by policies that make returns.
func newBaseline(w *world, policy func() routing.Policy) *baseline {
	b := &baseline{world: w}
	for i := range w.shape.Nodes {
		table := routing.NewTable(routing.Options{LocalDomain: domainOf(w.shape, i)})
		random := rand.New(rand.NewPCG(w.result.Seed, uint64(100+i)))
		b.nodes = append(b.nodes, &baselineNode{
			table:  table,
			router: routing.NewRouter(table, policy(), random),
		})
	}
	return b
}

func (b *baseline) learn(node int, list []fleet.Upstream) {
	b.nodes[node].table.Update(b.world.clock.wall(), list)
}

func (b *baseline) report(node int, id ident.Upstream, load routing.Load) {
	b.nodes[node].table.RecordLoad(id, load)
}

func (b *baseline) events(int, ident.Upstream, []routing.CacheEvent) {}

func (b *baseline) finish(*Result) {}

func (b *baseline) abandon(j *job) {
	if a := j.attempt; a != nil {
		a.engine.cancel(a)
		b.over(a, routing.OutcomeCancelled)
	}
}

func (b *baseline) arrive(_ int, j *job) {
	b.send(j)
}

// send chooses an upstream and sends the job there.
func (b *baseline) send(j *job) {
	if !j.open() {
		return
	}
	n := b.nodes[j.home]
	now := b.world.clock.wall()
	id, ok := n.router.Reserve(now, &j.features)
	if !ok {
		b.world.clock.after(2*baselinePause, func() { b.send(j) })
		return
	}
	j.attempts++
	e := b.world.byID[id]
	a := &attempt{job: j, engine: e, urgency: request.Urgency(j.kind.priority)}
	a.ended = func(a *attempt, how ending) {
		b.world.atNode(j.home, hop, func() { b.ended(a, how) })
	}
	j.attempt = a
	b.world.noteSend(e)
	b.world.clock.after(hop, func() {
		if !a.over {
			e.submit(a)
		}
	})
	b.watch(a)
}

// watch gives a connection up that is silent for too long.
func (b *baseline) watch(a *attempt) {
	b.world.clock.after(baselineSilence, func() {
		if a.over || a.job.attempt != a {
			return
		}
		if a.silent && b.world.clock.now-max(a.job.last, a.started) >= baselineSilence {
			a.engine.cancel(a)
			b.ended(a, endCrashed)
			return
		}
		b.watch(a)
	})
}

func (b *baseline) over(a *attempt, kind routing.OutcomeKind) {
	n := b.nodes[a.job.home]
	n.table.RecordEnd(b.world.clock.wall(), a.engine.upstream.ID, false, routing.Outcome{Kind: kind})
	a.job.attempt = nil
}

func (b *baseline) ended(a *attempt, how ending) {
	j := a.job
	if j.attempt != a {
		return
	}
	switch how {
	case endDone:
		b.over(a, routing.OutcomeDone)
		b.world.close(j, jobAnswered)
	case endFull, endLeaving:
		b.over(a, routing.OutcomeRefused)
		b.retry(j, jobRefused)
	case endUnreached:
		b.over(a, routing.OutcomeFailed)
		b.retry(j, jobRefused)
	case endCrashed:
		b.over(a, routing.OutcomeFailed)
		if !j.kind.idempotent {
			b.world.close(j, jobFailed)
			return
		}
		b.retry(j, jobFailed)
	}
}

func (b *baseline) retry(j *job, otherwise jobState) {
	if j.attempts >= baselineAttempts {
		b.world.close(j, otherwise)
		return
	}
	b.world.clock.after(baselinePause, func() { b.send(j) })
}
