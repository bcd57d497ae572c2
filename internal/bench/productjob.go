package bench

import (
	"time"

	"mangoledge.example/mangoledge/internal/admission"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/owner"
	"mangoledge.example/mangoledge/internal/poison"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/routing"
	"mangoledge.example/mangoledge/internal/verdict"
)

// arrive takes in a job or refuses it.
func (n *node) arrive(j *job) {
	w := n.product.world
	if n.registry.Check(j.print) != nil {
		n.refusePoison(j)
		return
	}
	now := w.clock.wall()
	request := admission.Request{
		Workspace: w.shape.workspaces[j.workspace].name,
		Kind:      j.kind.name,
		Pool:      j.features.Pool(),
		Priority:  j.kind.priority,
		Worth:     j.kind.worth,
		Cost:      n.estimator.Cost(j.kind.name, j.features.MaxTokens),
		Deadline:  epoch.Add(j.deadline),
	}
	if n.product.variant.noAdmission {
		request.Workspace, request.Priority, request.Cost = "all", 0, 0
	}
	t, refusal := n.admit.Admit(now, &request)
	if refusal != nil {
		w.close(j, jobRefused)
		return
	}
	j.ticket = t
	n.product.jobs[t] = j
	n.budget.Attempt()
	n.pump()
}

func (n *node) refusePoison(j *job) {
	if !j.poison {
		n.product.world.result.FalseConvictions++
	}
	n.product.world.close(j, jobRefused)
}

// shed ends a job that was accepted and never sent.
func (n *node) shed(t *admission.Ticket) {
	j := n.product.jobs[t]
	delete(n.product.jobs, t)
	n.product.world.close(j, jobRefused)
}

// pump lets waiting jobs ask for slots.
func (n *node) pump() {
	now := n.product.world.clock.wall()
	n.pools = n.admit.Pools(n.pools[:0])
	for _, pool := range n.pools {
		for n.reserving[pool] < n.product.reservers {
			t, ok := n.admit.Next(now, pool)
			if !ok {
				break
			}
			j := n.product.jobs[t]
			n.reserving[pool]++
			j.waiting = true
			n.try(j)
		}
	}
}

// settled ends a job's asking for a slot.
func (n *node) settled(j *job) {
	if j.waiting {
		j.waiting = false
		n.reserving[j.features.Pool()]--
	}
}

// try asks an owner for a slot.
func (n *node) try(j *job) {
	if !j.open() {
		n.settled(j)
		n.pump()
		return
	}
	if n.late(j) {
		n.settled(j)
		n.end(j, jobRefused)
		return
	}
	j.features.Suspect = j.features.Suspect || n.registry.Suspect(j.print)
	n.serial++
	j.serial = n.serial
	if n.product.variant.noOwner {
		n.chooseAlone(j)
		return
	}
	now := n.product.world.clock.wall()
	choice, ok := n.choose(now, j)
	if !ok {
		n.hold(j)
		return
	}
	n.ask(j, choice)
}

// choose returns the owner to ask.
func (n *node) choose(now time.Time, j *job) (owner.Choice, bool) {
	f := j.features
	if n.product.variant.noPrefix {
		f.Blocks = nil
	}
	return n.directory.Choose(now, &f)
}

// late reports whether a job that was not sent can't meet its deadline any more.
func (n *node) late(j *job) bool {
	return j.sent == 0 && !n.admit.Feasible(n.product.world.clock.wall(), j.ticket)
}

// hold tries again after a pause.
func (n *node) hold(j *job) {
	w := n.product.world
	w.later(n.number, holdPause+w.clock.jitter(holdPause), func() { n.try(j) })
}

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
		n.directory.Refused(choice.Owner, j.features.Pool(), w.clock.wall().Add(time.Second))
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
		ID:    owner.ReservationID{Holder: n.member.Incarnation, Serial: j.serial},
		Model: f.Model, Service: f.Service, Blocks: blocks,
		PromptTokens: f.PromptTokens, MaxTokens: f.MaxTokens, Priority: n.urgency(j),
		Avoid: f.Avoid, Suspect: f.Suspect,
		Hold: j.deadline - n.product.world.clock.now + time.Second,
	}
}

// urgency is the priority of a job where it waits behind its slot's others.
func (n *node) urgency(j *job) request.Priority {
	needs := time.Duration(j.kind.output) * admission.TypicalPace
	return admission.Urgency(n.product.world.clock.wall(), epoch.Add(j.deadline), needs)
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
	n.directory.Heard(now, to.member.Incarnation, reply.Summary)
	if !reply.Granted {
		n.directory.Refused(to.member.Incarnation, j.features.Pool(), now.Add(fullPause))
		n.try(j)
		return
	}
	if !j.open() {
		n.giveBack(to, args.ID, true)
		n.settled(j)
		n.pump()
		return
	}
	if reply.Wait && n.product.variant.line {
		n.settled(j)
		if n.late(j) {
			n.giveBack(to, args.ID, true)
			n.end(j, jobRefused)
			return
		}
		n.pump()
		n.product.world.later(n.number, linePause, func() { n.askInLine(j, to, args) })
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
	id := poison.PassID{Holder: n.member.Incarnation, Serial: uint64(j.number)}
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

// send sends a job to the upstream of a.
func (n *node) send(j *job, a *attempt) {
	w := n.product.world
	j.attempts++
	j.attempt = a
	a.ended = func(a *attempt, how ending) {
		w.atNode(n.number, hop, func() { n.ended(a, how) })
	}
	a.priority = n.urgency(j)
	n.running = append(n.running, j)
	n.table.Started(w.clock.wall(), a.engine.upstream.ID, &j.features)
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
		n.table.Finished(w.clock.wall(), a.engine.upstream.ID, j.features.Suspect, out)
	}
	if !a.held {
		return
	}
	a.held = false
	to := n.product.nodes[a.owner]
	id := owner.ReservationID{Holder: n.member.Incarnation, Serial: a.serial}
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
	reclaimed := n.table.Leaving(a.engine.upstream.ID) && poison.ByReclaim(w.clock.wall(), w.announced(&a.engine.upstream))
	ending := poison.EndingCrashed
	if reclaimed {
		ending = poison.EndingOther
	}
	n.registry.Crashed(w.clock.wall(), j.print, a.engine.upstream.ID, reclaimed)
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
	id := poison.PassID{Holder: n.member.Incarnation, Serial: uint64(j.number)}
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
