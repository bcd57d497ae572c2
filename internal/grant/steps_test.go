package grant

import (
	"fmt"
	"slices"

	"mangoledge.example/mangoledge/internal/request"
)

// visit is told each state that follows from another, and by which event.
type visit func(event func() string, next state)

// next calls v for every state that may follow s.
func (m *model) next(s state, v visit) {
	for i := range runnerCount {
		m.runnerSteps(s, i, v)
	}
	for w := range witnessCount {
		m.witnessSteps(s, w, v)
	}
}

// send lets runner i send msg and go on as r.
func (m *model) send(s state, i int, r runner, msg message, v visit) {
	msg.from = i
	n := s.with(m.messageNumber(msg))
	n.runners[i] = r
	v(func() string { return fmt.Sprintf("runner %d sends %d (epoch %d)", i, msg.kind, msg.epoch) }, n)
}

func (m *model) runnerSteps(s state, i int, v visit) {
	r := s.runners[i]
	become := func(event string, to step, change func(*state)) {
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
	says := func(n *state) { n.notRun = true }
	switch r.step {
	case stepIdle:
		m.send(s, i, runner{step: stepClaiming}, message{kind: kindClaim}, v)
		if m.rules.notRunWithoutVoid {
			become("says not run", stepSettled, says)
		} else {
			m.send(s, i, runner{step: stepVoiding}, message{kind: kindVoid}, v)
		}
	case stepHeld:
		m.send(s, i, runner{stepAsking, r.epoch}, message{kind: kindAsk, epoch: r.epoch}, v)
		m.send(s, i, runner{stepReleasing, r.epoch}, message{kind: kindRelease, epoch: r.epoch}, v)
		m.send(s, i, runner{stepFailing, r.epoch}, message{kind: kindFinish, epoch: r.epoch, phase: request.PhaseFailed}, v)
	case stepGranted:
		become("runs the request", stepRan, func(n *state) { n.runs++ })
		become("drops the request", stepSettled, says)
	case stepRan:
		if !m.rules.resultUnrecorded {
			m.send(s, i, runner{step: stepSettled}, message{kind: kindFinish, epoch: r.epoch, phase: request.PhaseDone}, v)
		} else {
			m.send(s, i, runner{step: stepSettled}, message{kind: kindFinish, epoch: r.epoch, phase: request.PhaseFailed}, v)
		}
	case stepClaiming, stepTaking, stepReleasing, stepAsking, stepVoiding, stepFailing:
		m.hear(s, i, v)
	case stepSettled:
	}
}

// waitsFor returns the message that a runner in r waits for the answer of.
func waitsFor(r runner) message {
	switch r.step {
	case stepAsking:
		return message{kind: kindAsk, epoch: r.epoch}
	case stepVoiding:
		return message{kind: kindVoid}
	case stepReleasing:
		return message{kind: kindRelease, epoch: r.epoch}
	case stepFailing:
		return message{kind: kindFinish, epoch: r.epoch, phase: request.PhaseFailed}
	case stepClaiming, stepTaking:
		return message{kind: kindClaim, epoch: r.epoch}
	case stepIdle, stepHeld, stepGranted, stepRan, stepSettled:
	}
	return message{kind: kindReply} // nothing
}

// hear lets runner i take any answer to what it has sent.
func (m *model) hear(s state, i int, v visit) {
	waits := waitsFor(s.runners[i])
	s.each(func(number int) {
		msg := m.messages[number]
		if msg.kind != kindReply || msg.from != i {
			return
		}
		a := msg.reply
		if a.to != waits.kind || msg.epoch != waits.epoch || msg.phase != waits.phase {
			return
		}
		n := s
		m.forget(&n, i)
		n.runners[i] = decide(&n, s.runners[i], a)
		if n.runners[i].step == stepTaking {
			n = n.with(m.messageNumber(message{kind: kindClaim, from: i, epoch: a.epoch}))
		}
		v(func() string { return fmt.Sprintf("runner %d hears %+v", i, a) }, n)
	})
}

// decide is what a runner in r does with an answer.
func decide(n *state, r runner, a answer) runner {
	switch a.meaning {
	case meansYes:
		return decideYes(n, r, a)
	case meansDone:
		n.answered = true
	case meansNotRun:
		n.notRun = true
	case meansHeld:
		if r.step == stepClaiming {
			// The holder is believed dead, rightly or not.
			return runner{step: stepTaking, epoch: a.epoch}
		}
	case meansMayHaveRun:
	}
	return runner{step: stepSettled}
}

func decideYes(n *state, r runner, a answer) runner {
	switch r.step {
	case stepClaiming, stepTaking:
		return runner{step: stepHeld, epoch: a.epoch}
	case stepAsking:
		return runner{step: stepGranted}
	case stepVoiding, stepFailing:
		n.notRun = true
	case stepIdle, stepHeld, stepReleasing, stepGranted, stepRan, stepSettled:
	}
	return runner{step: stepSettled}
}

func (m *model) witnessSteps(s state, w int, v visit) {
	number := s.witnesses[w]
	become := func(event func() string, table uint16, change func(*state)) {
		n := s
		n.witnesses[w] = table
		if change != nil {
			change(&n)
		}
		v(func() string { return fmt.Sprintf("witness %d %s", w, event()) }, n)
	}
	s.each(func(i int) {
		msg := m.messages[i]
		if msg.kind == kindReply || (msg.kind == kindSnapshot && msg.witness != w) {
			return
		}
		out := m.handle(number, i)
		become(func() string { return fmt.Sprintf("takes message %+v", msg) }, out.table, func(n *state) {
			if out.reply != noReply && awaited(s.runners[msg.from], msg) {
				*n = n.with(out.reply)
			}
		})
	})
	if m.expiry {
		m.expire(expiry{table: number}, become)
		m.expire(expiry{table: number, forgets: true}, become)
	}
	if w == firstTable {
		m.handOver(s, number, become)
	}
}

// awaited reports whether r waits for the answer to msg.
func awaited(r runner, msg message) bool {
	waits := waitsFor(r)
	return msg.kind == waits.kind && msg.epoch == waits.epoch && msg.phase == waits.phase
}

type becomeFunc func(event func() string, table uint16, change func(*state))

// expire lets a table drop every entry, and what it remembers of them.
func (m *model) expire(how expiry, become becomeFunc) {
	next, ok := m.expired[how]
	if !ok {
		t := cloneTable(m.tables[how.table])
		at := longAfter
		if how.forgets {
			at = tooLate
		}
		t.Expire(at, 0)
		m.breakExpiry(t)
		next = m.tableNumber(t)
		m.expired[how] = next
	}
	become(func() string { return fmt.Sprintf("expires its entries, forgets them: %t", how.forgets) }, next, nil)
}

// breakExpiry breaks the rules that are planted to be broken.
func (m *model) breakExpiry(t *Table) {
	if m.rules.expiryForgets {
		t.spent = newSpentSlots()
	}
	if m.rules.forgetsWithoutLimit {
		t.spent.limit = 0
	}
}

// handOver lets the first witness close for any one successor and send its snapshot any number of times.
func (m *model) handOver(s state, number uint16, become becomeFunc) {
	t := m.tables[number]
	if m.rules.snapshotBefore && t.mode == modeActive && !m.anySnapshot(s) {
		for w := 1; w < witnessCount; w++ {
			m.sendSnapshot(number, w, become)
		}
	}
	if t.mode == modeActive {
		// The successors are alike, so that choosing one of them covers the other.
		closed := cloneTable(t)
		if closed.Close(successors[1]) == nil {
			become(func() string { return "closes for witness 1" }, m.tableNumber(closed), nil)
		}
		return
	}
	chosen := slices.Index(successors[:], t.Successor())
	for w := 1; w < witnessCount; w++ {
		if w == chosen || m.rules.secondSuccessor {
			m.sendSnapshot(number, w, become)
		}
	}
}

func (m *model) anySnapshot(s state) bool {
	found := false
	s.each(func(i int) { found = found || m.messages[i].kind == kindSnapshot })
	return found
}

func (m *model) sendSnapshot(number uint16, w int, become becomeFunc) {
	msg := message{kind: kindSnapshot, witness: w, snapshot: m.snapshotNumber(m.tables[number])}
	become(func() string { return fmt.Sprintf("sends its snapshot to witness %d", w) }, number, func(n *state) {
		*n = n.with(m.messageNumber(msg))
	})
}
