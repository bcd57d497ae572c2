package grant

import (
	"fmt"
	"math/bits"
	"slices"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/verdict"
)

// injectedFaults selects the rules of the protocol that the model breaks.
type injectedFaults struct {
	// secondSuccessor sends the snapshot to a second successor as well.
	secondSuccessor bool
	// notRunWithoutVoid makes runners say "not run" without voiding the slot.
	notRunWithoutVoid bool
	// snapshotBeforeClose sends snapshots of a table that is still active.
	snapshotBeforeClose bool
	// expiryForgets drops all fingerprints at each expiry.
	expiryForgets bool
	// wrongResultRecorded makes runners report a request that they ran as failed and not run.
	wrongResultRecorded bool
	// expiryForgetsLimit drops old fingerprints and does not refuse IDs of their periods.
	expiryForgetsLimit bool
}

// step is the program counter of a runner.
type step uint8

const (
	stepIdle step = iota
	stepClaiming
	stepTakingOver
	stepHolding
	stepReleasing
	stepAsking
	stepGranted
	stepRan
	stepVoiding
	stepFailing
	stepSettled
)

// runner is one node that may run the request.
type runner struct {
	step  step
	epoch uint64
}

const (
	runnerCount  = 2
	witnessCount = 3
	messageWords = 6
	wordBits     = 64
)

// state is one state of the whole system.
//
// The messages form a set that grows: each may be received never, late, more than
// once and in any order, and a request may be received by any witness. A killed
// process takes no further step, and a paused one takes none for a while; since
// every step may be delayed, both are covered without additional states.
// Replies that a runner no longer waits for are removed, as it never waits for them again.
type state struct {
	runners   [runnerCount]runner
	witnesses [witnessCount]uint16
	messages  [messageWords]uint64
	runs      uint8
	notRun    bool
	answered  bool
}

// eachMessage calls f with the number of every message in the set.
func (s state) eachMessage(f func(number int)) {
	for i, word := range s.messages {
		for word != 0 {
			f(i*wordBits + bits.TrailingZeros64(word))
			word &= word - 1
		}
	}
}

// withMessage returns the state with a message added.
func (s state) withMessage(message int) state {
	s.messages[message/wordBits] |= 1 << (message % wordBits)
	return s
}

// discardReplies removes the replies to runner i, which no longer waits for them.
func (m *model) discardReplies(s *state, i int) {
	s.eachMessage(func(number int) {
		if m.messages[number].kind == kindReply && m.messages[number].from == i {
			s.messages[number/wordBits] &^= 1 << (number % wordBits)
		}
	})
}

// violation returns the invariant that the state violates, or empty.
func (s state) violation() string {
	switch {
	case s.runs > 1:
		return "run twice"
	case s.notRun && s.runs > 0:
		return "called not run, and was run"
	case s.answered && s.runs == 0:
		return "answered without being run"
	}
	return ""
}

// kind is the kind of a message.
type kind uint8

const (
	kindClaim kind = iota
	kindAsk
	kindVoid
	kindRelease
	kindFinish
	kindReply
	kindSnapshot
)

// message is a message of the model. A reply repeats from, epoch and phase of its request.
type message struct {
	kind kind
	// from is the runner that sends the message, or receives it if it is a reply.
	from int
	// witness is the receiver of a snapshot; a request may be received by any witness.
	witness int
	epoch   uint64
	// phase is the final phase in a kindFinish message.
	phase request.Phase
	// reply is set in a kindReply message.
	reply answer
	// snapshot is the index of the snapshot in a kindSnapshot message.
	snapshot int
}

// meaning is what an answer means to a runner.
type meaning uint8

const (
	meansMayHaveRun meaning = iota
	meansYes
	meansDone
	meansNotRun
	// meansHeldByOther answers a claim: another runner, which may be dead, holds the request.
	meansHeldByOther
)

// answer is the content of a reply.
type answer struct {
	// to is the kind of the request.
	to      kind
	meaning meaning
	// epoch is set in answers to claims that mean meansYes or meansHeldByOther.
	epoch uint64
}

var (
	holders         = [runnerCount]ident.Incarnation{home, other}
	successors      = [witnessCount]ident.Incarnation{"w1", "w2", "w3"}
	afterExpiry     = deadline.Add(time.Hour)
	afterForgetting = deadline.Add(time.Hour + FingerprintTTL + periodLength)
	modelID         = stampedID(deadline)
	modelSpec       = spec(false)
	firstWitness    = 0
	emptyRecord     = request.Record{}
)

// model numbers the tables, messages and snapshots found so far, and caches the
// effect of each message on each table.
type model struct {
	faults injectedFaults
	// expiry allows tables to expire their entries at any time.
	expiry        bool
	tables        []*Table
	tableIndex    map[string]uint16
	messages      []message
	messageIndex  map[message]int
	snapshots     []Snapshot
	snapshotIndex map[string]int
	handled       map[[2]int]outcome
	expired       map[expiry]uint16
}

// expiry identifies an expiry step of a table, which may drop the fingerprints as well.
type expiry struct {
	table   uint16
	forgets bool
}

// outcome is the effect of a message on a table: its next state and the reply.
type outcome struct {
	table uint16
	reply int
}

const noReply = -1

func newModel(faults injectedFaults) *model {
	return &model{
		faults:        faults,
		tableIndex:    make(map[string]uint16),
		messageIndex:  make(map[message]int),
		snapshotIndex: make(map[string]int),
		handled:       make(map[[2]int]outcome),
		expired:       make(map[expiry]uint16),
	}
}

func (m *model) initial() state {
	s := state{}
	s.witnesses[0] = m.tableNumber(NewTable(10))
	for i := 1; i < witnessCount; i++ {
		s.witnesses[i] = m.tableNumber(NewSuccessorTable(10))
	}
	return s
}

// tableKey returns a string that is equal for tables with equal content.
func tableKey(t *Table) string {
	c := t.exportState()
	key := fmt.Sprint(t.mode, t.successor, c.Spent, c.Forgotten, c.Full)
	for _, e := range c.Entries {
		failure := ""
		if e.Record.Failure != nil {
			failure = e.Record.Failure.Verdict.String()
		}
		key += fmt.Sprint(e.Slot, e.Cancelled, e.Record.Phase, e.Record.Holder, e.Record.Epoch, failure)
	}
	return key
}

func (m *model) tableNumber(t *Table) uint16 {
	key := tableKey(t)
	n, ok := m.tableIndex[key]
	if !ok {
		n = uint16(len(m.tables))
		m.tables = append(m.tables, t)
		m.tableIndex[key] = n
	}
	return n
}

func (m *model) messageNumber(msg message) int {
	n, ok := m.messageIndex[msg]
	if !ok {
		n = len(m.messages)
		if n >= messageWords*wordBits {
			panic("the model has more messages than fit into a state")
		}
		m.messages = append(m.messages, msg)
		m.messageIndex[msg] = n
	}
	return n
}

func (m *model) snapshotNumber(t *Table) int {
	key := tableKey(t)
	n, ok := m.snapshotIndex[key]
	if !ok {
		n = len(m.snapshots)
		m.snapshots = append(m.snapshots, cloneTable(t).exportState())
		m.snapshotIndex[key] = n
	}
	return n
}

func cloneTable(t *Table) *Table {
	out := *t
	out.entries = make(map[ident.RequestID]*Entry, len(t.entries))
	for id, e := range t.entries {
		copied := *e
		out.entries[id] = &copied
	}
	out.spent = newSpentSlots()
	out.spent.merge(t.spent.list(), uint32(t.spent.lastForgotten))
	return &out
}

// handle delivers one message to a table, using the transition functions of the daemon.
func (m *model) handle(table uint16, number int) outcome {
	key := [2]int{int(table), number}
	if out, ok := m.handled[key]; ok {
		return out
	}
	t := cloneTable(m.tables[table])
	msg := m.messages[number]
	a, err := m.apply(t, msg)
	out := outcome{table: m.tableNumber(t), reply: noReply}
	if err == nil && msg.kind != kindSnapshot {
		a.to = msg.kind
		out.reply = m.messageNumber(message{kind: kindReply, from: msg.from, epoch: msg.epoch, phase: msg.phase, reply: a})
	}
	m.handled[key] = out
	return out
}

func (m *model) apply(t *Table, msg message) (answer, error) {
	holder := holders[msg.from]
	switch msg.kind {
	case kindClaim:
		r, err := t.Claim(&ClaimRequest{ID: modelID, Holder: holder, Spec: modelSpec, SeenEpoch: msg.epoch})
		a := interpret(r.Claimed, r.Granted, r.Record)
		if a.meaning == meansYes || a.meaning == meansHeldByOther {
			a.epoch = r.Record.Epoch
		}
		return a, err
	case kindAsk:
		r, err := t.Grant(&Request{ID: modelID, Holder: holder, Epoch: msg.epoch})
		return interpret(r.Granted, false, r.Record), err
	case kindVoid:
		r, err := t.Void(&VoidRequest{ID: modelID, Holder: holder, Spec: modelSpec})
		return interpret(r.Voided, false, r.Record), err
	case kindRelease:
		r, err := t.Progress(&ProgressRequest{ID: modelID, Holder: holder, Epoch: msg.epoch, Released: true, Moves: 9})
		return interpret(r.Applied, false, emptyRecord), err
	case kindFinish:
		r, err := t.Finish(&FinishRequest{ID: modelID, Holder: holder, Epoch: msg.epoch, Record: finalRecord(msg.phase)})
		return interpret(r.Applied, false, emptyRecord), err
	case kindSnapshot:
		s := m.snapshots[msg.snapshot]
		s.Entries = slices.Clone(s.Entries)
		t.Install(&s)
	case kindReply:
	}
	return answer{}, nil
}

func finalRecord(phase request.Phase) request.Record {
	out := request.Record{Phase: phase}
	if phase == request.PhaseFailed {
		out.Failure = verdict.New(verdict.NotRun, verdict.CodeOverloaded, "refused")
	}
	return out
}

// interpret returns the answer that a reply of the table means to a runner.
func interpret(yes, granted bool, r request.Record) answer {
	switch {
	case yes && granted:
		return answer{meaning: meansMayHaveRun}
	case yes:
		return answer{meaning: meansYes}
	case r.Phase == request.PhaseDone:
		return answer{meaning: meansDone}
	case r.Failure != nil && r.Failure.Verdict == verdict.NotRun:
		return answer{meaning: meansNotRun}
	case granted:
		return answer{meaning: meansMayHaveRun}
	}
	return answer{meaning: meansHeldByOther}
}
