package grant

import (
	"fmt"
	"slices"

	"mangoledge.example/mangoledge/internal/request"
)

// visit is called with each successor of a state and the event that leads to it.
type visit func(event func() string, next state)

// next calls v for every successor of s.
func (m *model) next(s state, v visit) {
	for i := range runnerCount {
		m.runnerSteps(s, i, v)
	}
	for w := range witnessCount {
		m.witnessSteps(s, w, v)
	}
}

// send visits the state in which runner i has sent msg and become r.
func (m *model) send(s state, i int, r runner, msg message, v visit) {
	msg.from = i
	n := s.withMessage(m.messageNumber(msg))
	n.runners[i] = r
	v(func() string { return fmt.Sprintf("runner %d sends %d (epoch %d)", i, msg.kind, msg.epoch) }, n)
}

// runnerSteps visits the states that runner i can lead to.
func (m *model) runnerSteps(s state, i int, v visit) {
	r := s.runners[i]
	transition := func(event string, to step, change func(*state)) {
		n := s
		n.runners[i] = runner{step: to, epoch: r.epoch}
		if to == stepSettled {
			n.runners[i].epoch = 0
		}
		if change != nil {
			change(&n)
		}
		v(func() string { return fmt.Sprintf("runner %d %s", i, event) }, n)
	}
	sayNotRun := func(n *state) { n.notRun = true }
	switch r.step {
	case stepIdle:
		m.send(s, i, runner{step: stepClaiming}, message{kind: kindClaim}, v)
		if m.faults.notRunWithoutVoid {
			transition("says not run", stepSettled, sayNotRun)
		} else {
			m.send(s, i, runner{step: stepVoiding}, message{kind: kindVoid}, v)
		}
	case stepHolding:
		m.send(s, i, runner{stepAsking, r.epoch}, message{kind: kindAsk, epoch: r.epoch}, v)
		m.send(s, i, runner{stepReleasing, r.epoch}, message{kind: kindRelease, epoch: r.epoch}, v)
		m.send(s, i, runner{stepFailing, r.epoch}, message{kind: kindFinish, epoch: r.epoch, phase: request.PhaseFailed}, v)
	case stepGranted:
		transition("runs the request", stepRan, func(n *state) { n.runs++ })
		transition("drops the request", stepSettled, sayNotRun)
	case stepRan:
		if !m.faults.wrongResultRecorded {
			m.send(s, i, runner{step: stepSettled}, message{kind: kindFinish, epoch: r.epoch, phase: request.PhaseDone}, v)
		} else {
			m.send(s, i, runner{step: stepSettled}, message{kind: kindFinish, epoch: r.epoch, phase: request.PhaseFailed}, v)
		}
	case stepClaiming, stepTakingOver, stepReleasing, stepAsking, stepVoiding, stepFailing:
		m.receiveReplies(s, i, v)
	case stepSettled:
	}
}

// awaitedRequest returns the request whose reply runner r waits for.
func awaitedRequest(r runner) message {
	switch r.step {
	case stepAsking:
		return message{kind: kindAsk, epoch: r.epoch}
	case stepVoiding:
		return message{kind: kindVoid}
	case stepReleasing:
		return message{kind: kindRelease, epoch: r.epoch}
	case stepFailing:
		return message{kind: kindFinish, epoch: r.epoch, phase: request.PhaseFailed}
	case stepClaiming, stepTakingOver:
		return message{kind: kindClaim, epoch: r.epoch}
	case stepIdle, stepHolding, stepGranted, stepRan, stepSettled:
	}
	return message{kind: kindReply} // matches no request
}

// receiveReplies visits the states in which runner i has received a reply to its request.
func (m *model) receiveReplies(s state, i int, v visit) {
	waits := awaitedRequest(s.runners[i])
	s.eachMessage(func(number int) {
		msg := m.messages[number]
		if msg.kind != kindReply || msg.from != i {
			return
		}
		a := msg.reply
		if a.to != waits.kind || msg.epoch != waits.epoch || msg.phase != waits.phase {
			return
		}
		n := s
		m.discardReplies(&n, i)
		n.runners[i] = decide(&n, s.runners[i], a)
		if n.runners[i].step == stepTakingOver {
			n = n.withMessage(m.messageNumber(message{kind: kindClaim, from: i, epoch: a.epoch}))
		}
		v(func() string { return fmt.Sprintf("runner %d hears %+v", i, a) }, n)
	})
}

// decide returns runner r after it has received an answer, and updates the state.
func decide(n *state, r runner, a answer) runner {
	switch a.meaning {
	case meansYes:
		return decideYes(n, r, a)
	case meansDone:
		n.answered = true
	case meansNotRun:
		n.notRun = true
	case meansHeldByOther:
		if r.step == stepClaiming {
			// The runner believes the holder dead, which may be wrong.
			return runner{step: stepTakingOver, epoch: a.epoch}
		}
	case meansMayHaveRun:
	}
	return runner{step: stepSettled}
}

// decideYes is decide for a positive answer.
func decideYes(n *state, r runner, a answer) runner {
	switch r.step {
	case stepClaiming, stepTakingOver:
		return runner{step: stepHolding, epoch: a.epoch}
	case stepAsking:
		return runner{step: stepGranted}
	case stepVoiding, stepFailing:
		n.notRun = true
	case stepIdle, stepHolding, stepReleasing, stepGranted, stepRan, stepSettled:
	}
	return runner{step: stepSettled}
}

// witnessSteps visits the states that witness w can lead to.
func (m *model) witnessSteps(s state, w int, v visit) {
	number := s.witnesses[w]
	transition := func(event func() string, table uint16, change func(*state)) {
		n := s
		n.witnesses[w] = table
		if change != nil {
			change(&n)
		}
		v(func() string { return fmt.Sprintf("witness %d %s", w, event()) }, n)
	}
	s.eachMessage(func(i int) {
		msg := m.messages[i]
		if msg.kind == kindReply || (msg.kind == kindSnapshot && msg.witness != w) {
			return
		}
		out := m.handle(number, i)
		transition(func() string { return fmt.Sprintf("takes message %+v", msg) }, out.table, func(n *state) {
			if out.reply != noReply && isAwaited(s.runners[msg.from], msg) {
				*n = n.withMessage(out.reply)
			}
		})
	})
	if m.expiry {
		m.expire(expiry{table: number}, transition)
		m.expire(expiry{table: number, forgets: true}, transition)
	}
	if w == firstWitness {
		m.handOver(s, number, transition)
	}
}

// isAwaited reports whether runner r waits for the reply to msg.
func isAwaited(r runner, msg message) bool {
	waits := awaitedRequest(r)
	return msg.kind == waits.kind && msg.epoch == waits.epoch && msg.phase == waits.phase
}

// transitionFunc visits the state in which a witness has the given table.
type transitionFunc func(event func() string, table uint16, change func(*state))

// expire visits the state in which a table has removed every entry and, if
// how.forgets, their fingerprints.
func (m *model) expire(how expiry, transition transitionFunc) {
	next, ok := m.expired[how]
	if !ok {
		t := cloneTable(m.tables[how.table])
		at := afterExpiry
		if how.forgets {
			at = afterForgetting
		}
		t.Expire(at, 0)
		m.injectExpiryFaults(t)
		next = m.tableNumber(t)
		m.expired[how] = next
	}
	transition(func() string { return fmt.Sprintf("expires its entries, drops their fingerprints: %t", how.forgets) }, next, nil)
}

// injectExpiryFaults applies the injected faults of expiry to t.
func (m *model) injectExpiryFaults(t *Table) {
	if m.faults.expiryForgets {
		t.spent = newSpentSlots()
	}
	if m.faults.expiryForgetsLimit {
		t.spent.lastForgotten = 0
	}
}

// handOver lets the first witness close its table for one successor and send its
// snapshot any number of times.
func (m *model) handOver(s state, number uint16, transition transitionFunc) {
	t := m.tables[number]
	if m.faults.snapshotBeforeClose && t.mode == modeActive && !m.anySnapshot(s) {
		for w := 1; w < witnessCount; w++ {
			m.sendSnapshot(number, w, transition)
		}
	}
	if t.mode == modeActive {
		// The successors are interchangeable, so that one choice covers both.
		closed := cloneTable(t)
		if closed.Close(successors[1]) == nil {
			transition(func() string { return "closes for witness 1" }, m.tableNumber(closed), nil)
		}
		return
	}
	chosen := slices.Index(successors[:], t.Successor())
	for w := 1; w < witnessCount; w++ {
		if w == chosen || m.faults.secondSuccessor {
			m.sendSnapshot(number, w, transition)
		}
	}
}

func (m *model) anySnapshot(s state) bool {
	found := false
	s.eachMessage(func(i int) { found = found || m.messages[i].kind == kindSnapshot })
	return found
}

func (m *model) sendSnapshot(number uint16, w int, transition transitionFunc) {
	msg := message{kind: kindSnapshot, witness: w, snapshot: m.snapshotNumber(m.tables[number])}
	transition(func() string { return fmt.Sprintf("sends its snapshot to witness %d", w) }, number, func(n *state) {
		*n = n.withMessage(m.messageNumber(msg))
	})
}
