package bench

import (
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/owner"
	"mangoledge.example/mangoledge/internal/poison"
	"mangoledge.example/mangoledge/internal/routing"
	"mangoledge.example/mangoledge/internal/verdict"
)

// send sends a job to the upstream of a.
func (n *node) send(j *job, a *attempt) {
	w := n.product.world
	j.attempts++
	j.attempt = a
	n.admit.Placed(w.clock.wall(), j.ticket)
	a.ended = func(a *attempt, how ending) {
		w.atNode(n.number, hop, func() { n.ended(a, how) })
	}
	a.urgency = n.urgency(j)
	n.running = append(n.running, j)
	n.table.RecordStart(w.clock.wall(), a.engine.upstream.ID, &j.features)
	w.noteSend(a.engine)
	w.clock.after(n.latency(), func() {
		if !a.over {
			a.engine.submit(a)
		}
	})
}

func (n *node) latency() time.Duration {
	if n.product.variant.oracle {
		return 0
	}
	return hop
}

// release gives the slot of a back.
func (n *node) release(a *attempt, kind routing.OutcomeKind) {
	w := n.product.world
	j := a.job
	out := routing.Outcome{Kind: kind, PerToken: pace(a)}
	if j.attempt == a {
		n.table.RecordEnd(w.clock.wall(), a.engine.upstream.ID, j.features.Suspect, out)
	}
	if !a.held {
		return
	}
	a.held = false
	to := n.product.nodes[a.owner]
	id := owner.ReservationID{Holder: n.member.Incarnation.Hash(), Serial: a.serial}
	w.atNode(to.number, n.way(to), func() { to.ledger.Release(w.clock.wall(), id, out) })
}

// pace returns the mean time between the tokens of a.
func pace(a *attempt) time.Duration {
	j := a.job
	if j.generated < 2 || j.first < a.started || j.kind.service {
		return 0
	}
	return (j.last - j.first) / time.Duration(j.generated-1)
}

// ended takes in the end of an attempt.
func (n *node) ended(a *attempt, how ending) {
	j := a.job
	if j.attempt != a {
		return
	}
	w := n.product.world
	switch how {
	case endDone:
		n.estimator.Observe(j.kind.name, w.clock.now-a.started)
		n.unpass(j, a, poison.EndingFinished)
		n.drop(a, routing.OutcomeDone)
		n.end(j, jobAnswered)
	case endLeaving:
		n.unpass(j, a, poison.EndingOther)
		n.drop(a, routing.OutcomeLeaving)
		n.try(j)
	case endFull:
		n.unpass(j, a, poison.EndingOther)
		n.drop(a, routing.OutcomeRefused)
		n.again(j, a, verdict.NotRun)
	case endUnreached:
		n.unpass(j, a, poison.EndingOther)
		n.drop(a, routing.OutcomeFailed)
		n.again(j, a, verdict.NotRun)
	case endCrashed:
		n.crashed(j, a)
	}
}

// crashed goes on after the upstream died.
func (n *node) crashed(j *job, a *attempt) {
	w := n.product.world
	reclaimed := n.table.Leaving(a.engine.upstream.ID) && poison.CausedByReclaim(w.clock.wall(), w.announced(&a.engine.upstream))
	ending := poison.EndingCrashed
	if reclaimed {
		ending = poison.EndingOther
	}
	n.registry.RecordCrash(w.clock.wall(), j.print, a.engine.upstream.ID, reclaimed)
	n.unpass(j, a, ending)
	n.drop(a, routing.OutcomeFailed)
	if reclaimed && j.kind.idempotent {
		n.try(j)
		return
	}
	n.again(j, a, verdict.MayHaveRun)
}

// again tries a job again when the retry policy allows it.
func (n *node) again(j *job, a *attempt, v verdict.Verdict) {
	w := n.product.world
	j.features.Avoid = a.engine.upstream.ID
	if refusal := n.registry.Check(j.print); refusal != nil {
		n.refusePoison(j)
		n.leave(j)
		n.pump()
		return
	}
	pause, ok := n.retry.Next(j.attempts, v, j.kind.idempotent, w.clock.wall(), epoch.Add(j.deadline))
	if !ok {
		n.end(j, failedState(v))
		return
	}
	w.later(n.number, pause, func() { n.try(j) })
}

func failedState(v verdict.Verdict) jobState {
	if v == verdict.NotRun {
		return jobRefused
	}
	return jobFailed
}

// unpass gives the gate's pass back.
func (n *node) unpass(j *job, a *attempt, ending poison.Ending) {
	if !j.passed {
		return
	}
	j.passed = false
	w := n.product.world
	gate := n.gateOf(j)
	id := j.pass
	w.atNode(gate.number, n.way(gate), func() {
		gate.gate.Release(w.clock.wall(), j.print, id, a.engine.upstream.ID, ending)
	})
}

// drop takes an attempt off its job.
func (n *node) drop(a *attempt, kind routing.OutcomeKind) {
	n.release(a, kind)
	a.job.attempt = nil
	n.running = withoutJob(n.running, a.job)
}

// end ends a job.
func (n *node) end(j *job, state jobState) {
	n.product.world.close(j, state)
	n.leave(j)
	n.pump()
}

// leave takes a job out of admission.
func (n *node) leave(j *job) {
	if j.ticket == nil {
		return
	}
	n.admit.Release(n.product.world.clock.wall(), j.ticket)
	delete(n.product.jobs, j.ticket)
	j.ticket = nil
}

// abandon drops a job whose deadline passed.
func (p *product) abandon(j *job) {
	n := p.nodeOf(j.home)
	if a := j.attempt; a != nil {
		a.engine.cancel(a)
		n.unpass(j, a, poison.EndingOther)
		n.drop(a, routing.OutcomeCancelled)
	}
	n.leave(j)
	n.pump()
}

func (p *product) byIncarnation(i ident.Incarnation) *node {
	for _, n := range p.nodes {
		if n.member.Incarnation == i {
			return n
		}
	}
	return nil
}

func withoutJob(list []*job, j *job) []*job {
	for i, other := range list {
		if other == j {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
