package bench

import (
	"time"

	"mangoledge.example/mangoledge/internal/admission"
	"mangoledge.example/mangoledge/internal/owner"
	"mangoledge.example/mangoledge/internal/poison"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/routing"
)

// askOwner requests a slot from an owner. Without a reply within ownerTimeout the node
// avoids the owner for a second and chooses an upstream itself; a reservation that is
// granted later is returned.
func (n *node) askOwner(j *job, choice owner.Choice) {
	w := n.product.world
	args := n.reserveArgs(j)
	answered := false
	asked := w.clock.now
	to := n.product.nodeByIncarnation(choice.Owner)
	w.afterMessage(to.number, n.messageDelayTo(to), func() {
		reply := to.ledger.Reserve(w.clock.wallTime(), args)
		w.afterMessage(n.number, n.messageDelayTo(to), func() {
			if answered {
				n.returnReservation(to, args.ID, reply.Granted)
				return
			}
			answered = true
			if w.clock.now-asked > ownerTimeout {
				n.returnReservation(to, args.ID, reply.Granted)
				n.requestSlot(j)
				return
			}
			n.handleReserveReply(j, to, args, reply)
		})
	})
	w.afterLocalDelay(n.number, ownerTimeout, func() {
		if answered {
			return
		}
		answered = true
		n.directory.MarkFull(choice.Owner, j.features.Pool(), w.clock.wallTime().Add(time.Second))
		n.chooseWithoutOwner(j)
	})
}

// messageDelayTo returns the time of a message to another node; it is zero for the node
// itself.
func (n *node) messageDelayTo(to *node) time.Duration {
	if to == n {
		return 0
	}
	return messageDelay
}

// reserveArgs returns the reservation request of a job.
func (n *node) reserveArgs(j *job) *owner.ReserveArgs {
	f := &j.features
	blocks := f.Blocks
	if n.product.variant.noPrefix {
		blocks = nil
	}
	return &owner.ReserveArgs{
		ID:    owner.ReservationID{Holder: n.member.Incarnation.Hash(), Serial: j.reservationSerial},
		Model: f.Model, Service: f.Service, Blocks: blocks,
		PromptTokens: f.PromptTokens, MaxTokens: f.MaxTokens, Urgency: n.urgency(j),
		Avoid: f.Avoid, Suspect: f.Suspect,
		Pressing: n.pressing(j),
		Hold:     j.deadline - n.product.world.clock.now + time.Second,
	}
}

// pressing reports whether a job that was not sent is close to its latest start.
func (n *node) pressing(j *job) bool {
	if j.sent > 0 {
		return false
	}
	return owner.IsPressing(n.product.world.clock.wallTime(), n.admit.LatestStart(j.ticket))
}

// urgency returns the job's rank among the requests that wait for a slot at an upstream.
func (n *node) urgency(j *job) request.Urgency {
	needs := time.Duration(j.kind.outputTokens) * admission.TypicalTokenLatency
	return request.UrgencyOf(epoch.Add(j.deadline), needs)
}

// returnReservation releases a granted reservation that is not used.
func (n *node) returnReservation(to *node, id owner.ReservationID, granted bool) {
	if !granted {
		return
	}
	w := n.product.world
	w.afterMessage(to.number, n.messageDelayTo(to), func() {
		to.ledger.Release(w.clock.wallTime(), id, routing.Outcome{Kind: routing.OutcomeUnsent})
	})
}

// handleReserveReply applies an owner's reply: the job runs, waits in the owner's line or
// requests another slot.
func (n *node) handleReserveReply(j *job, to *node, args *owner.ReserveArgs, reply owner.ReserveReply) {
	now := n.product.world.clock.wallTime()
	n.directory.RecordSummary(now, to.member.Incarnation, reply.Summary)
	if !reply.Granted {
		n.directory.MarkFull(to.member.Incarnation, j.features.Pool(), now.Add(fullOwnerPause))
		n.requestSlot(j)
		return
	}
	if !j.open() {
		n.returnReservation(to, args.ID, true)
		n.stopReserving(j)
		n.reserveWaiting()
		return
	}
	if !n.table.Current(now) {
		// This node was paused since it asked; the upstream may have left meanwhile.
		n.returnReservation(to, args.ID, true)
		n.requestSlotLater(j)
		return
	}
	if reply.Wait && !n.product.variant.engineQueue {
		n.stopReserving(j)
		if n.pastLatestStart(j) {
			n.returnReservation(to, args.ID, true)
			n.endJob(j, jobRefused)
			return
		}
		n.reserveWaiting()
		n.product.world.afterLocalDelay(n.number, reply.PollInterval(), func() { n.pollReservation(j, to, args) })
		return
	}
	a := &attempt{job: j, engine: n.product.world.byID[reply.Upstream], ownerNode: to.number, reservationSerial: args.ID.Serial, holdsReservation: true}
	n.passGate(j, a)
}

// pollReservation asks an owner again whether a request that waits in its line has a slot.
func (n *node) pollReservation(j *job, to *node, args *owner.ReserveArgs) {
	w := n.product.world
	w.afterMessage(to.number, n.messageDelayTo(to), func() {
		reply := to.ledger.Reserve(w.clock.wallTime(), args)
		w.afterMessage(n.number, n.messageDelayTo(to), func() { n.handleReserveReply(j, to, args, reply) })
	})
}

// chooseWithoutOwner chooses an upstream without an owner. A suspect waits for an owner
// instead, which keeps it apart from other suspects.
func (n *node) chooseWithoutOwner(j *job) {
	id, ok := n.router.Pick(n.product.world.clock.wallTime(), &j.features)
	if !ok || j.features.Suspect && !n.product.variant.noOwner {
		n.requestSlotLater(j)
		return
	}
	a := &attempt{job: j, engine: n.product.world.byID[id]}
	n.passGate(j, a)
}

// passGate gets a pass from the content's gate and sends the job. A real node calls the
// gate in parallel with the owner, so the call adds no delay here. The slot is released if
// the content has to wait or is refused, and also if the gate has seen it crash an
// upstream and it was not known as suspect; then it requests a slot as a suspect.
func (n *node) passGate(j *job, a *attempt) {
	w := n.product.world
	gate := n.gateOf(j)
	n.passSerial++
	id := poison.PassID{Holder: n.member.Incarnation.Hash(), Serial: n.passSerial}
	answer := gate.gate.Acquire(w.clock.wallTime(), j.fingerprint, id, j.deadline-w.clock.now+time.Second)
	if answer.Kind == poison.AnswerPass && answer.Crashes > 0 && !j.features.Suspect {
		j.features.Suspect = true
		gate.gate.Release(w.clock.wallTime(), j.fingerprint, id, "", poison.EndingOther)
		n.releaseSlot(a, routing.OutcomeUnsent)
		n.requestSlot(j)
		return
	}
	switch answer.Kind {
	case poison.AnswerRefuse:
		n.releaseSlot(a, routing.OutcomeUnsent)
		n.stopReserving(j)
		n.refusePoison(j)
		n.leaveAdmission(j)
		n.reserveWaiting()
	case poison.AnswerWait:
		n.releaseSlot(a, routing.OutcomeUnsent)
		n.stopReserving(j)
		n.reserveWaiting()
		w.afterLocalDelay(n.number, gateWaitPause, func() { n.requestSlot(j) })
	case poison.AnswerPass:
		j.holdsPass = true
		j.passID = id
		n.stopReserving(j)
		n.send(j, a)
		n.reserveWaiting()
	}
}

// gateWaitPause is the pause before content that has to wait at its gate asks again.
const gateWaitPause = 100 * time.Millisecond

// gateOf returns the node whose gate is responsible for the job's content.
func (n *node) gateOf(j *job) *node {
	m, _ := poison.Coordinator(j.fingerprint, "", n.product.members)
	return n.product.nodeByIncarnation(m.Incarnation)
}
