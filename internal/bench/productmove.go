package bench

import (
	"time"

	"mangoledge.example/mangoledge/internal/owner"
	"mangoledge.example/mangoledge/internal/recovery"
	"mangoledge.example/mangoledge/internal/routing"
)

// movePause is the pause before a move that found no slot asks again.
const movePause = 50 * time.Millisecond

// evacuate moves streams off upstreams that are leaving.
func (n *node) evacuate() {
	for _, j := range append([]*job(nil), n.running...) {
		a := j.attempt
		if a == nil || a.moving || j.kind.service || !j.kind.idempotent {
			continue
		}
		if n.table.Leaving(a.engine.upstream.ID) {
			n.planMove(j, a)
		}
	}
}

// planMove decides how a stream goes on and begins to move it.
func (n *node) planMove(j *job, a *attempt) {
	plan := n.planFor(j, a)
	if plan.Method == recovery.MethodStay {
		n.product.world.result.Stays++
		return
	}
	a.moving = true
	n.move(j, a)
}

// planFor returns the plan for a stream on a leaving upstream.
func (n *node) planFor(j *job, a *attempt) recovery.Plan {
	w := n.product.world
	e := a.engine
	perToken := pace(a)
	if perToken == 0 {
		perToken = stepBase + engineSlots*stepPerRunning
	}
	return recovery.Choose(
		recovery.Stream{
			PromptTokens: j.features.PromptTokens, GeneratedTokens: j.generated,
			RemainingTokens: max(0, j.kind.output-j.generated),
			KVBytes:         int64(j.features.PromptTokens+j.generated) * kvBytesPerToken,
		},
		recovery.Source{
			Reachable: e.alive, Leaving: true, Notice: w.noticeLeft(&e.upstream), TokenInterval: perToken,
			CanExport: a.prefill == 0 && j.generated > 0, ExportBytesPerSecond: exportRate,
			QueuedExportBytes: int64(max(0, e.exportFree-w.clock.now).Seconds() * exportRate),
		},
		recovery.Target{CanImport: true, PrefillTokensPerSecond: prefillRate / 3, RoundTrip: 2 * hop},
	)
}

// move reserves a slot elsewhere and then moves the stream there.
func (n *node) move(j *job, a *attempt) {
	w := n.product.world
	if !j.open() || j.attempt != a || a.over {
		return
	}
	if n.product.variant.noOwner {
		id, ok := n.router.Pick(w.clock.wall(), &j.features)
		if ok {
			n.switchTo(j, a, &attempt{job: j, engine: w.byID[id]})
			return
		}
		w.later(n.number, movePause, func() { n.move(j, a) })
		return
	}
	choice, ok := n.choose(w.clock.wall(), j)
	if !ok {
		w.later(n.number, movePause+w.clock.jitter(movePause), func() { n.move(j, a) })
		return
	}
	n.serial++
	j.serial = n.serial
	args := n.reserveArgs(j)
	to := n.product.byIncarnation(choice.Owner)
	asked := w.clock.now
	w.atNode(to.number, n.way(to), func() {
		reply := to.ledger.Reserve(w.clock.wall(), args)
		w.atNode(n.number, n.way(to), func() {
			if w.clock.now-asked > ownerTimeout {
				n.giveBack(to, args.ID, reply.Granted)
				n.move(j, a)
				return
			}
			n.moveReserved(j, a, to, args, reply)
		})
	})
}

func (n *node) moveReserved(j *job, a *attempt, to *node, args *owner.ReserveArgs, reply owner.ReserveReply) {
	w := n.product.world
	now := w.clock.wall()
	n.directory.RecordSummary(now, to.member.Incarnation, reply.Summary)
	if !reply.Granted {
		n.directory.MarkFull(to.member.Incarnation, j.features.Pool(), now.Add(fullPause))
		w.later(n.number, holdPause, func() { n.move(j, a) })
		return
	}
	if !j.open() || j.attempt != a || a.over {
		n.giveBack(to, args.ID, true)
		return
	}
	next := &attempt{job: j, engine: w.byID[reply.Upstream], owner: to.number, serial: args.ID.Serial, held: true}
	n.switchTo(j, a, next)
}

// switchTo moves the stream of a to the upstream of next.
func (n *node) switchTo(j *job, a, next *attempt) {
	w := n.product.world
	plan := n.planFor(j, a)
	delay := time.Duration(0)
	switch plan.Method {
	case recovery.MethodTransfer:
		w.result.Transfers++
		delay = a.engine.export(a)
		next.moved = true
	case recovery.MethodPrefill, recovery.MethodStay, recovery.MethodResume:
		w.result.Prefills++
		a.engine.cancel(a)
	}
	n.drop(a, routing.OutcomeMoved)
	w.later(n.number, delay, func() {
		if !j.open() {
			n.release(next, routing.OutcomeUnsent)
			return
		}
		if n.table.Leaving(next.engine.upstream.ID) {
			n.release(next, routing.OutcomeUnsent)
			n.try(j)
			return
		}
		n.send(j, next)
	})
}

// watch attaches again to streams whose connection went silent.
func (p *product) watch() {
	w := p.world
	w.clock.after(watchEvery, p.watch)
	for _, n := range p.nodes {
		if w.clock.now < w.paused[n.number] {
			continue
		}
		for _, j := range n.running {
			a := j.attempt
			if a != nil && a.silent && w.clock.now-max(j.last, a.started) >= silenceTimeout {
				w.result.Resumes++
				w.clock.after(2*hop, func() { a.engine.resume(a) })
			}
		}
	}
}
