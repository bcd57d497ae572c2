package bench

import (
	"time"

	"mangoledge.example/mangoledge/internal/admission"
	"mangoledge.example/mangoledge/internal/owner"
	"mangoledge.example/mangoledge/internal/poison"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/routing"
)

// ask sends a reservation to an owner, and in parallel asks the content's gate.
func (n *node) ask(j *job, choice owner.Choice) {
	w := n.product.world
	args := n.reserveArgs(j)
	answered := false
	asked := w.clock.now
	to := n.product.byIncarnation(choice.Owner)
	w.atNode(to.number, n.way(to), func() {
		reply := to.ledger.Reserve(w.clock.wall(), args)
		w.atNode(n.number, n.way(to), func() {
			if answered {
				n.giveBack(to, args.ID, reply.Granted)
				return
			}
			answered = true
			if w.clock.now-asked > ownerTimeout {
				n.giveBack(to, args.ID, reply.Granted)
				n.try(j)
				return
			}
			n.reserved(j, to, args, reply)
		})
	})
	w.later(n.number, ownerTimeout, func() {
		if answered {
			return
		}
		answered = true
		n.directory.MarkFull(choice.Owner, j.features.Pool(), w.clock.wall().Add(time.Second))
		n.chooseAlone(j)
	})
}

// way returns the time of a message to another node.
func (n *node) way(to *node) time.Duration {
	if to == n {
		return 0
	}
	return hop
}

func (n *node) reserveArgs(j *job) *owner.ReserveArgs {
	f := &j.features
	blocks := f.Blocks
	if n.product.variant.noPrefix {
		blocks = nil
	}
	return &owner.ReserveArgs{
		ID:    owner.ReservationID{Holder: n.member.Incarnation.Hash(), Serial: j.serial},
		Model: f.Model, Service: f.Service, Blocks: blocks,
		PromptTokens: f.PromptTokens, MaxTokens: f.MaxTokens, Urgency: n.urgency(j),
		Avoid: f.Avoid, Suspect: f.Suspect,
		Pressing: n.pressing(j),
		Hold:     j.deadline - n.product.world.clock.now + time.Second,
	}
}

// pressing reports whether a job that was not sent is given up soon.
func (n *node) pressing(j *job) bool {
	if j.sent > 0 {
		return false
	}
	return owner.IsPressing(n.product.world.clock.wall(), n.admit.LatestStart(j.ticket))
}

// urgency is the priority of a job where it waits behind its slot's others.
func (n *node) urgency(j *job) request.Urgency {
	needs := time.Duration(j.kind.output) * admission.TypicalTokenLatency
	return request.UrgencyOf(epoch.Add(j.deadline), needs)
}

// giveBack ends a reservation whose answer came too late.
func (n *node) giveBack(to *node, id owner.ReservationID, granted bool) {
	if !granted {
		return
	}
	w := n.product.world
	w.atNode(to.number, n.way(to), func() {
		to.ledger.Release(w.clock.wall(), id, routing.Outcome{Kind: routing.OutcomeUnsent})
	})
}

// reserved takes in an owner's answer.
func (n *node) reserved(j *job, to *node, args *owner.ReserveArgs, reply owner.ReserveReply) {
	now := n.product.world.clock.wall()
	n.directory.RecordSummary(now, to.member.Incarnation, reply.Summary)
	if !reply.Granted {
		n.directory.MarkFull(to.member.Incarnation, j.features.Pool(), now.Add(fullPause))
		n.try(j)
		return
	}
	if !j.open() {
		n.giveBack(to, args.ID, true)
		n.settled(j)
		n.pump()
		return
	}
	if !n.table.Current(now) {
		// This node was paused since it asked; the upstream may have left meanwhile.
		n.giveBack(to, args.ID, true)
		n.hold(j)
		return
	}
	if reply.Wait && !n.product.variant.engineQueue {
		n.settled(j)
		if n.late(j) {
			n.giveBack(to, args.ID, true)
			n.end(j, jobRefused)
			return
		}
		n.pump()
		n.product.world.later(n.number, reply.PollInterval(), func() { n.askInLine(j, to, args) })
		return
	}
	a := &attempt{job: j, engine: n.product.world.byID[reply.Upstream], owner: to.number, serial: args.ID.Serial, held: true}
	n.pass(j, a)
}

// askInLine asks an owner again whether a request in its line has a slot.
func (n *node) askInLine(j *job, to *node, args *owner.ReserveArgs) {
	w := n.product.world
	w.atNode(to.number, n.way(to), func() {
		reply := to.ledger.Reserve(w.clock.wall(), args)
		w.atNode(n.number, n.way(to), func() { n.reserved(j, to, args, reply) })
	})
}

// chooseAlone chooses an upstream without an owner. A suspect waits for an owner
// instead, who keeps it apart from other suspects.
func (n *node) chooseAlone(j *job) {
	id, ok := n.router.Pick(n.product.world.clock.wall(), &j.features)
	if !ok || j.features.Suspect && !n.product.variant.noOwner {
		n.hold(j)
		return
	}
	a := &attempt{job: j, engine: n.product.world.byID[id]}
	n.pass(j, a)
}

// pass asks the content's gate, then sends. The call goes out together with the
// reservation, so only the longer of both counts; an answer of "wait" gives the slot back.
func (n *node) pass(j *job, a *attempt) {
	w := n.product.world
	gate := n.gateOf(j)
	n.passes++
	id := poison.PassID{Holder: n.member.Incarnation.Hash(), Serial: n.passes}
	answer := gate.gate.Acquire(w.clock.wall(), j.print, id, j.deadline-w.clock.now+time.Second)
	if answer.Kind == poison.AnswerPass && answer.Crashes > 0 && !j.features.Suspect {
		j.features.Suspect = true
		gate.gate.Release(w.clock.wall(), j.print, id, "", poison.EndingOther)
		n.release(a, routing.OutcomeUnsent)
		n.try(j)
		return
	}
	switch answer.Kind {
	case poison.AnswerRefuse:
		n.release(a, routing.OutcomeUnsent)
		n.settled(j)
		n.refusePoison(j)
		n.leave(j)
		n.pump()
	case poison.AnswerWait:
		n.release(a, routing.OutcomeUnsent)
		n.settled(j)
		n.pump()
		w.later(n.number, poisonPause, func() { n.try(j) })
	case poison.AnswerPass:
		j.passed = true
		j.pass = id
		n.settled(j)
		n.send(j, a)
		n.pump()
	}
}

// poisonPause is the pause before a content that has to wait at its gate asks again.
const poisonPause = 100 * time.Millisecond

func (n *node) gateOf(j *job) *node {
	m, _ := poison.Coordinator(j.print, "", n.product.members)
	return n.product.byIncarnation(m.Incarnation)
}
