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
	n.admit.Placed(w.clock.wallTime(), j.ticket)
	a.onEnd = func(a *attempt, how ending) {
		w.afterMessage(n.number, messageDelay, func() { n.handleEnd(a, how) })
	}
	a.urgency = n.urgency(j)
	n.running = append(n.running, j)
	n.table.RecordStart(w.clock.wallTime(), a.engine.upstream.ID, &j.features)
	w.countLateSend(a.engine)
	w.clock.after(n.sendDelay(), func() {
		if !a.done {
			a.engine.submit(a)
		}
	})
}

// sendDelay returns the time of a message from the node to an upstream.
func (n *node) sendDelay() time.Duration {
	if n.product.variant.oracle {
		return 0
	}
	return messageDelay
}

// releaseSlot records the end of a in the node's own table and releases its reservation at
// the owner.
func (n *node) releaseSlot(a *attempt, kind routing.OutcomeKind) {
	w := n.product.world
	j := a.job
	out := routing.Outcome{Kind: kind, PerToken: meanTokenInterval(a)}
	if j.attempt == a {
		n.table.RecordEnd(w.clock.wallTime(), a.engine.upstream.ID, j.features.Suspect, out)
	}
	if !a.holdsReservation {
		return
	}
	a.holdsReservation = false
	to := n.product.nodes[a.ownerNode]
	id := owner.ReservationID{Holder: n.member.Incarnation.Hash(), Serial: a.reservationSerial}
	w.afterMessage(to.number, n.messageDelayTo(to), func() { to.ledger.Release(w.clock.wallTime(), id, out) })
}

// meanTokenInterval returns the mean time between the tokens of a, or 0 if it is not
// known.
func meanTokenInterval(a *attempt) time.Duration {
	j := a.job
	if j.generatedTokens < 2 || j.firstTokenAt < a.startedAt || j.kind.service {
		return 0
	}
	return (j.lastTokenAt - j.firstTokenAt) / time.Duration(j.generatedTokens-1)
}

// handleEnd answers or continues a job after the end of its attempt.
func (n *node) handleEnd(a *attempt, how ending) {
	j := a.job
	if j.attempt != a {
		return
	}
	w := n.product.world
	switch how {
	case endCompleted:
		n.estimator.Observe(j.kind.name, w.clock.now-a.startedAt)
		n.releasePass(j, a, poison.EndingFinished)
		n.dropAttempt(a, routing.OutcomeDone)
		n.endJob(j, jobAnswered)
	case endLeaving:
		n.releasePass(j, a, poison.EndingOther)
		n.dropAttempt(a, routing.OutcomeLeaving)
		n.requestSlot(j)
	case endFull:
		n.releasePass(j, a, poison.EndingOther)
		n.dropAttempt(a, routing.OutcomeRefused)
		n.retryJob(j, a, verdict.NotRun)
	case endUnreachable:
		n.releasePass(j, a, poison.EndingOther)
		n.dropAttempt(a, routing.OutcomeFailed)
		n.retryJob(j, a, verdict.NotRun)
	case endCrashed:
		n.handleCrash(j, a)
	}
}

// handleCrash continues or ends a job whose upstream failed. A crash that a reclaim
// explains does not count against the content.
func (n *node) handleCrash(j *job, a *attempt) {
	w := n.product.world
	reclaimed := n.table.Leaving(a.engine.upstream.ID) && poison.CausedByReclaim(w.clock.wallTime(), w.reclaimTime(&a.engine.upstream))
	ending := poison.EndingCrashed
	if reclaimed {
		ending = poison.EndingOther
	}
	n.registry.RecordCrash(w.clock.wallTime(), j.fingerprint, a.engine.upstream.ID, reclaimed)
	n.releasePass(j, a, ending)
	n.dropAttempt(a, routing.OutcomeFailed)
	if reclaimed && j.kind.idempotent {
		n.requestSlot(j)
		return
	}
	n.retryJob(j, a, verdict.MayHaveRun)
}

// retryJob tries a job again if its content is not refused as poison and the retry policy
// allows it.
func (n *node) retryJob(j *job, a *attempt, v verdict.Verdict) {
	w := n.product.world
	j.features.Avoid = a.engine.upstream.ID
	if refusal := n.registry.Check(j.fingerprint); refusal != nil {
		n.refusePoison(j)
		n.leaveAdmission(j)
		n.reserveWaiting()
		return
	}
	pause, ok := n.retry.Next(j.attempts, v, j.kind.idempotent, w.clock.wallTime(), epoch.Add(j.deadline))
	if !ok {
		n.endJob(j, failedState(v))
		return
	}
	w.afterLocalDelay(n.number, pause, func() { n.requestSlot(j) })
}

// failedState returns the state of a job that ends without a further attempt.
func failedState(v verdict.Verdict) jobState {
	if v == verdict.NotRun {
		return jobRefused
	}
	return jobFailed
}

// releasePass returns the job's pass to the gate.
func (n *node) releasePass(j *job, a *attempt, ending poison.Ending) {
	if !j.holdsPass {
		return
	}
	j.holdsPass = false
	w := n.product.world
	gate := n.gateOf(j)
	id := j.passID
	w.afterMessage(gate.number, n.messageDelayTo(gate), func() {
		gate.gate.Release(w.clock.wallTime(), j.fingerprint, id, a.engine.upstream.ID, ending)
	})
}

// dropAttempt detaches an attempt from its job and releases its slot.
func (n *node) dropAttempt(a *attempt, kind routing.OutcomeKind) {
	n.releaseSlot(a, kind)
	a.job.attempt = nil
	n.running = removeJob(n.running, a.job)
}

// endJob ends a job in the given state and takes it out of admission.
func (n *node) endJob(j *job, state jobState) {
	n.product.world.closeJob(j, state)
	n.leaveAdmission(j)
	n.reserveWaiting()
}

// leaveAdmission releases the admission ticket of a job.
func (n *node) leaveAdmission(j *job) {
	if j.ticket == nil {
		return
	}
	n.admit.Release(n.product.world.clock.wallTime(), j.ticket)
	delete(n.product.jobs, j.ticket)
	j.ticket = nil
}

func (p *product) expire(j *job) {
	n := p.nodeOf(j.home)
	if a := j.attempt; a != nil {
		a.engine.cancel(a)
		n.releasePass(j, a, poison.EndingOther)
		n.dropAttempt(a, routing.OutcomeCancelled)
	}
	n.leaveAdmission(j)
	n.reserveWaiting()
}

// nodeByIncarnation returns the node with incarnation i, or nil.
func (p *product) nodeByIncarnation(i ident.Incarnation) *node {
	for _, n := range p.nodes {
		if n.member.Incarnation == i {
			return n
		}
	}
	return nil
}

// removeJob removes j from list in place.
func removeJob(list []*job, j *job) []*job {
	for i, other := range list {
		if other == j {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
