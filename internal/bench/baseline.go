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
	// baselineMaxAttempts is how often a baseline sends a request at most.
	baselineMaxAttempts = 3
	// baselineRetryPause is the pause before a baseline's retry.
	baselineRetryPause = 50 * time.Millisecond
	// baselineSilenceTimeout is the time without a token after which a baseline closes a
	// connection.
	baselineSilenceTimeout = 2 * time.Second
)

// baseline is a gateway of the usual kind: each node chooses by itself, sends at once and
// retries elsewhere after a failure.
type baseline struct {
	world *world
	nodes []*baselineNode
}

// baselineNode is one node of a baseline.
type baselineNode struct {
	table  *routing.Table
	router *routing.Router
}

// newBaseline returns a baseline; policy is called once for each node.
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

func (b *baseline) updateUpstreams(node int, list []fleet.Upstream) {
	b.nodes[node].table.Update(b.world.clock.wallTime(), list)
}

func (b *baseline) recordLoad(node int, id ident.Upstream, load routing.Load) {
	b.nodes[node].table.RecordLoad(id, load)
}

func (b *baseline) applyCacheEvents(int, ident.Upstream, []routing.CacheEvent) {}

func (b *baseline) addCounts(*Result) {}

func (b *baseline) expire(j *job) {
	if a := j.attempt; a != nil {
		a.engine.cancel(a)
		b.endAttempt(a, routing.OutcomeCancelled)
	}
}

func (b *baseline) submit(_ int, j *job) {
	b.send(j)
}

// send chooses an upstream and sends the job there; without a free one it tries again
// after a pause.
func (b *baseline) send(j *job) {
	if !j.open() {
		return
	}
	n := b.nodes[j.home]
	now := b.world.clock.wallTime()
	id, ok := n.router.Reserve(now, &j.features)
	if !ok {
		b.world.clock.after(2*baselineRetryPause, func() { b.send(j) })
		return
	}
	j.attempts++
	e := b.world.byID[id]
	a := &attempt{job: j, engine: e, urgency: request.Urgency(j.kind.priority)}
	a.onEnd = func(a *attempt, how ending) {
		b.world.afterMessage(j.home, messageDelay, func() { b.handleEnd(a, how) })
	}
	j.attempt = a
	b.world.countLateSend(e)
	b.world.clock.after(messageDelay, func() {
		if !a.done {
			e.submit(a)
		}
	})
	b.watchSilence(a)
}

// watchSilence ends an attempt as crashed if its connection delivers nothing for too long.
func (b *baseline) watchSilence(a *attempt) {
	b.world.clock.after(baselineSilenceTimeout, func() {
		if a.done || a.job.attempt != a {
			return
		}
		if a.silent && b.world.clock.now-max(a.job.lastTokenAt, a.startedAt) >= baselineSilenceTimeout {
			a.engine.cancel(a)
			b.handleEnd(a, endCrashed)
			return
		}
		b.watchSilence(a)
	})
}

// endAttempt records the end of an attempt in the table of its node.
func (b *baseline) endAttempt(a *attempt, kind routing.OutcomeKind) {
	n := b.nodes[a.job.home]
	n.table.RecordEnd(b.world.clock.wallTime(), a.engine.upstream.ID, false, routing.Outcome{Kind: kind})
	a.job.attempt = nil
}

// handleEnd answers, retries or fails a job after the end of its attempt.
func (b *baseline) handleEnd(a *attempt, how ending) {
	j := a.job
	if j.attempt != a {
		return
	}
	switch how {
	case endCompleted:
		b.endAttempt(a, routing.OutcomeDone)
		b.world.closeJob(j, jobAnswered)
	case endFull, endLeaving:
		b.endAttempt(a, routing.OutcomeRefused)
		b.retry(j, jobRefused)
	case endUnreachable:
		b.endAttempt(a, routing.OutcomeFailed)
		b.retry(j, jobRefused)
	case endCrashed:
		b.endAttempt(a, routing.OutcomeFailed)
		if !j.kind.idempotent {
			b.world.closeJob(j, jobFailed)
			return
		}
		b.retry(j, jobFailed)
	}
}

// retry sends a job again after a pause, or ends it in finalState if it has no attempts
// left.
func (b *baseline) retry(j *job, finalState jobState) {
	if j.attempts >= baselineMaxAttempts {
		b.world.closeJob(j, finalState)
		return
	}
	b.world.clock.after(baselineRetryPause, func() { b.send(j) })
}
