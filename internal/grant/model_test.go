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

// rules are the rules of the protocol that a planted variant breaks one of.
type rules struct {
	secondSuccessor   bool
	notRunWithoutVoid bool
	snapshotBefore    bool
	expiryForgets     bool
	resultUnrecorded  bool
	// forgetsWithoutLimit forgets old fingerprints and does not refuse IDs of their time.
	forgetsWithoutLimit bool
}

// step is where a runner is in its program.
type step uint8

const (
	stepIdle step = iota
	stepClaiming
	stepTaking
	stepHeld
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
// Messages are a set that grows: each may be taken never, late, more than once
// and in any order, and a request may be taken by any witness. A process that is
// killed or paused is one that takes no further step, for ever or for a while;
// every step may be put off, so that both are covered without states of their own.
// Answers that a runner no longer waits for are left out, as it never waits for them again.
type state struct {
	runners   [runnerCount]runner
	witnesses [witnessCount]uint16
	messages  [messageWords]uint64
	runs      uint8
	notRun    bool
	answered  bool
}

// each calls f with the number of every message in the set.
func (s state) each(f func(number int)) {
	for i, word := range s.messages {
		for word != 0 {
			f(i*wordBits + bits.TrailingZeros64(word))
			word &= word - 1
		}
	}
}

// with adds a message.
func (s state) with(message int) state {
	s.messages[message/wordBits] |= 1 << (message % wordBits)
	return s
}

// forget removes the answers to runner i, which goes on to something else.
func (m *model) forget(s *state, i int) {
	s.each(func(number int) {
		if m.messages[number].kind == kindReply && m.messages[number].from == i {
			s.messages[number/wordBits] &^= 1 << (number % wordBits)
		}
	})
}

// bad returns what is violated, or empty.
func (s state) bad() string {
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

// message is a message of the model; replies answer a request by its number.
type message struct {
	kind kind
	// from is the runner that sends or gets the message.
	from int
	// witness is where a snapshot goes; a request may be taken by any.
	witness int
	epoch   uint64
	// phase is the final phase that a finish reports.
	phase request.Phase
	// reply is what a witness answered.
	reply answer
	// snapshot is the number of a snapshot.
	snapshot int
}

// meaning is what an answer means to a runner.
type meaning uint8

const (
	meansMayHaveRun meaning = iota
	meansYes
	meansDone
	meansNotRun
	// meansHeld is said to a claim: another holder is named, and may be dead.
	meansHeld
)

// answer is what a runner learns from a witness.
type answer struct {
	to      kind
	meaning meaning
	// epoch is set for claims that were answered with meansYes or meansHeld.
	epoch uint64
}

var (
	holders     = [runnerCount]ident.Incarnation{home, other}
	successors  = [witnessCount]ident.Incarnation{"w1", "w2", "w3"}
	longAfter   = deadline.Add(time.Hour)
	tooLate     = deadline.Add(time.Hour + FingerprintLife + periodTime)
	modelID     = stampedID(deadline)
	modelSpec   = spec(false)
	firstTable  = 0
	emptyRecord = request.Record{}
)

// model keeps the tables, messages and snapshots met so far, each with a number,
// and what each message did to each table.
type model struct {
	rules rules
	// expiry lets tables expire their entries at any time.
	expiry     bool
	tables     []*Table
	tableIndex map[string]uint16
	messages   []message
	index      map[message]int
	snapshots  []Snapshot
	snapIndex  map[string]int
	handled    map[[2]int]outcome
	expired    map[expiry]uint16
}

// expiry is a table that expires its entries, and may forget their fingerprints as well.
type expiry struct {
	table   uint16
	forgets bool
}

// outcome is what a table did with a message.
type outcome struct {
	table uint16
	reply int
}

const noReply = -1

func newModel(r rules) *model {
	return &model{
		rules:      r,
		tableIndex: make(map[string]uint16),
		index:      make(map[message]int),
		snapIndex:  make(map[string]int),
		handled:    make(map[[2]int]outcome),
		expired:    make(map[expiry]uint16),
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

// tableKey returns a text that is the same for equal tables.
func tableKey(t *Table) string {
	c := t.contents()
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
	n, ok := m.index[msg]
	if !ok {
		n = len(m.messages)
		if n >= messageWords*wordBits {
			panic("the model has more messages than fit into a state")
		}
		m.messages = append(m.messages, msg)
		m.index[msg] = n
	}
	return n
}

func (m *model) snapshotNumber(t *Table) int {
	key := tableKey(t)
	n, ok := m.snapIndex[key]
	if !ok {
		n = len(m.snapshots)
		m.snapshots = append(m.snapshots, cloneTable(t).contents())
		m.snapIndex[key] = n
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
	out.spent.adopt(t.spent.list(), uint32(t.spent.limit))
	return &out
}

// handle lets a table take one message by the transition functions of the daemon.
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
		a := learn(r.Claimed, r.Granted, r.Record)
		if a.meaning == meansYes || a.meaning == meansHeld {
			a.epoch = r.Record.Epoch
		}
		return a, err
	case kindAsk:
		r, err := t.Grant(&Request{ID: modelID, Holder: holder, Epoch: msg.epoch})
		return learn(r.Granted, false, r.Record), err
	case kindVoid:
		r, err := t.Void(&VoidRequest{ID: modelID, Holder: holder, Spec: modelSpec})
		return learn(r.Voided, false, r.Record), err
	case kindRelease:
		r, err := t.Progress(&ProgressRequest{ID: modelID, Holder: holder, Epoch: msg.epoch, Released: true, Moves: 9})
		return learn(r.Applied, false, emptyRecord), err
	case kindFinish:
		r, err := t.Finish(&FinishRequest{ID: modelID, Holder: holder, Epoch: msg.epoch, Record: finalRecord(msg.phase)})
		return learn(r.Applied, false, emptyRecord), err
	case kindSnapshot:
		s := m.snapshots[msg.snapshot]
		s.Entries = slices.Clone(s.Entries)
		t.Adopt(&s)
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

// learn returns what a runner makes of a reply.
func learn(yes, granted bool, r request.Record) answer {
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
	return answer{meaning: meansHeld}
}
