package bench

import (
	"time"

	"mangoledge.example/mangoledge/internal/owner"
	"mangoledge.example/mangoledge/internal/recovery"
	"mangoledge.example/mangoledge/internal/routing"
)

// movePause is the pause before a move that found no slot tries again.
const movePause = 50 * time.Millisecond

// moveOffLeaving moves the node's streams off upstreams that are leaving.
func (n *node) moveOffLeaving() {
	for _, j := range append([]*job(nil), n.running...) {
		a := j.attempt
		if a == nil || a.moving || j.kind.service || !j.kind.idempotent {
			continue
		}
		if n.table.Leaving(a.engine.upstream.ID) {
			n.startMove(j, a)
		}
	}
}

// startMove starts to move a stream unless it is to stay at its upstream until the end.
func (n *node) startMove(j *job, a *attempt) {
	plan := n.recoveryPlan(j, a)
	if plan.Method == recovery.MethodStay {
		n.product.world.result.Stays++
		return
	}
	a.moving = true
	n.move(j, a)
}

// recoveryPlan returns how to continue a stream of a leaving upstream.
func (n *node) recoveryPlan(j *job, a *attempt) recovery.Plan {
	w := n.product.world
	e := a.engine
	perToken := meanTokenInterval(a)
	if perToken == 0 {
		perToken = stepBaseTime + engineSlots*stepTimePerDecoding
	}
	return recovery.Choose(
		recovery.Stream{
			PromptTokens: j.features.PromptTokens, GeneratedTokens: j.generatedTokens,
			RemainingTokens: max(0, j.kind.outputTokens-j.generatedTokens),
			KVBytes:         int64(j.features.PromptTokens+j.generatedTokens) * kvBytesPerToken,
		},
		recovery.Source{
			Reachable: e.alive, Leaving: true, Notice: w.noticeLeft(&e.upstream), TokenInterval: perToken,
			CanExport: a.prefillLeft == 0 && j.generatedTokens > 0, ExportBytesPerSecond: exportBytesPerSecond,
			QueuedExportBytes: int64(max(0, e.exportFreeAt-w.clock.now).Seconds() * exportBytesPerSecond),
		},
		recovery.Target{CanImport: true, PrefillTokensPerSecond: prefillTokensPerSecond / 3, RoundTrip: 2 * messageDelay},
	)
}

// move reserves a slot at another upstream and then moves the stream there.
func (n *node) move(j *job, a *attempt) {
	w := n.product.world
	if !j.open() || j.attempt != a || a.done {
		return
	}
	if n.product.variant.noOwner {
		id, ok := n.router.Pick(w.clock.wallTime(), &j.features)
		if ok {
			n.switchAttempt(j, a, &attempt{job: j, engine: w.byID[id]})
			return
		}
		w.afterLocalDelay(n.number, movePause, func() { n.move(j, a) })
		return
	}
	choice, ok := n.chooseOwner(w.clock.wallTime(), j)
	if !ok {
		w.afterLocalDelay(n.number, movePause+w.clock.jitter(movePause), func() { n.move(j, a) })
		return
	}
	n.reservationSerial++
	j.reservationSerial = n.reservationSerial
	args := n.reserveArgs(j)
	to := n.product.nodeByIncarnation(choice.Owner)
	asked := w.clock.now
	w.afterMessage(to.number, n.messageDelayTo(to), func() {
		reply := to.ledger.Reserve(w.clock.wallTime(), args)
		w.afterMessage(n.number, n.messageDelayTo(to), func() {
			if w.clock.now-asked > ownerTimeout {
				n.returnReservation(to, args.ID, reply.Granted)
				n.move(j, a)
				return
			}
			n.handleMoveReply(j, a, to, args, reply)
		})
	})
}

// handleMoveReply moves the stream if the owner granted the slot, and tries again
// otherwise.
func (n *node) handleMoveReply(j *job, a *attempt, to *node, args *owner.ReserveArgs, reply owner.ReserveReply) {
	w := n.product.world
	now := w.clock.wallTime()
	n.directory.RecordSummary(now, to.member.Incarnation, reply.Summary)
	if !reply.Granted {
		n.directory.MarkFull(to.member.Incarnation, j.features.Pool(), now.Add(fullOwnerPause))
		w.afterLocalDelay(n.number, noSlotPause, func() { n.move(j, a) })
		return
	}
	if !j.open() || j.attempt != a || a.done {
		n.returnReservation(to, args.ID, true)
		return
	}
	next := &attempt{job: j, engine: w.byID[reply.Upstream], ownerNode: to.number, reservationSerial: args.ID.Serial, holdsReservation: true}
	n.switchAttempt(j, a, next)
}

// switchAttempt moves the stream of a to the upstream of next, by a transfer of the KV
// cache or by prefill.
func (n *node) switchAttempt(j *job, a, next *attempt) {
	w := n.product.world
	plan := n.recoveryPlan(j, a)
	delay := time.Duration(0)
	switch plan.Method {
	case recovery.MethodTransfer:
		w.result.Transfers++
		delay = a.engine.exportKV(a)
		next.kvImported = true
	case recovery.MethodPrefill, recovery.MethodStay, recovery.MethodResume:
		w.result.Prefills++
		a.engine.cancel(a)
	}
	n.dropAttempt(a, routing.OutcomeMoved)
	w.afterLocalDelay(n.number, delay, func() {
		if !j.open() {
			n.releaseSlot(next, routing.OutcomeUnsent)
			return
		}
		if n.table.Leaving(next.engine.upstream.ID) {
			n.releaseSlot(next, routing.OutcomeUnsent)
			n.requestSlot(j)
			return
		}
		n.send(j, next)
	})
}

// reattachSilent reattaches to streams whose connections went silent.
func (p *product) reattachSilent() {
	w := p.world
	w.clock.after(watchInterval, p.reattachSilent)
	for _, n := range p.nodes {
		if w.clock.now < w.pausedUntil[n.number] {
			continue
		}
		for _, j := range n.running {
			a := j.attempt
			if a != nil && a.silent && w.clock.now-max(j.lastTokenAt, a.startedAt) >= silenceTimeout {
				w.result.Resumes++
				w.clock.after(2*messageDelay, func() { a.engine.reattach(a) })
			}
		}
	}
}
