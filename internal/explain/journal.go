// Package explain records a node's decisions and their inputs, so that an
// operator can ask for them afterwards. Recording is cheap enough to be done
// for every request: a decision is a record of fixed size in a ring buffer, and
// its sentence is composed only when it is read.
//
// Invariants: memory is bounded by the capacity; a full ring overwrites its
// oldest entries; decisions about requests never evict those about other kinds
// of subjects; no content of a request is recorded.
//
// Lock order: shard.mu is a leaf.
package explain

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mangoledge.example/mangoledge/internal/ident"
)

// DefaultCapacity is the number of decisions about requests that a node keeps, and
// otherCapacity that of decisions about each other kind of subject. Each kind is divided
// into shardCount rings.
const (
	DefaultCapacity = 16384
	otherCapacity   = 2048
	shardCount      = 16
)

// Journal holds the latest decisions of one node. It is safe for concurrent use; Record and
// Request do nothing on a nil Journal.
type Journal struct {
	node   ident.Incarnation
	now    func() time.Time
	shards [kindCount][shardCount]shard
	// decisions holds the *Decision for each name passed to Request.
	decisions sync.Map
}

// shard is a ring buffer of the decisions about a part of the subjects of one kind.
type shard struct {
	mu    sync.Mutex
	slots []slot
	// next is the index of the oldest slot, which is overwritten next, once slots is full.
	next int
}

// slot holds one entry; its inputs are stored in place, not in a slice.
type slot struct {
	at         time.Time
	id         string
	decision   *Decision
	inputs     [MaxInputs]Input
	inputCount uint8
}

// NewJournal returns a journal that keeps about capacity decisions about requests, in equal
// parts for each shard.
func NewJournal(node ident.Incarnation, capacity int, now func() time.Time) *Journal {
	j := &Journal{node: node, now: now}
	for kind := range kindCount {
		size := otherCapacity / shardCount
		if kind == KindRequest {
			size = max(capacity/shardCount, 1)
		}
		for i := range j.shards[kind] {
			j.shards[kind][i].slots = make([]slot, 0, size)
		}
	}
	return j
}

// Record records a decision about the subject called id. decision must not be modified
// later; inputs are copied.
func (j *Journal) Record(kind Kind, id string, decision *Decision, inputs ...Input) {
	if j == nil || kind >= kindCount {
		return
	}
	at := j.now()
	s := j.shard(kind, id)
	s.mu.Lock()
	defer s.mu.Unlock()
	target := s.nextSlot()
	target.at = at
	target.id = id
	target.decision = decision
	target.inputCount = uint8(copy(target.inputs[:], inputs))
}

// nextSlot returns the slot to write: a new one, or the oldest one once the ring is full.
// The caller holds mu.
func (s *shard) nextSlot() *slot {
	if len(s.slots) < cap(s.slots) {
		s.slots = append(s.slots, slot{})
		return &s.slots[len(s.slots)-1]
	}
	target := &s.slots[s.next]
	s.next = (s.next + 1) % len(s.slots)
	return target
}

// Lookup returns the entries about a subject, the oldest first.
func (j *Journal) Lookup(subject Subject) []Entry {
	if subject.Kind >= kindCount {
		return nil
	}
	s := j.shard(subject.Kind, subject.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Entry
	for i := range s.slots {
		found := &s.slots[(s.next+i)%len(s.slots)]
		if found.id == subject.ID {
			out = append(out, j.entry(subject, found))
		}
	}
	return out
}

// entry returns the content of a slot as an Entry.
func (j *Journal) entry(subject Subject, s *slot) Entry {
	return Entry{
		At:       s.at,
		Node:     j.node,
		Subject:  subject,
		Decision: *s.decision,
		Inputs:   append([]Input(nil), s.inputs[:s.inputCount]...),
	}
}

// shard returns the shard that holds the decisions about a subject.
func (j *Journal) shard(kind Kind, id string) *shard {
	return &j.shards[kind][xxhash.Sum64String(id)%shardCount]
}

// reasonInput is the name of the only input of decisions recorded by Request; their
// sentence contains it in full.
const reasonInput = "reason"

// Request records the decision called decision about a request, with its reason in words.
func (j *Journal) Request(id ident.RequestID, decision, reason string) {
	if j == nil {
		return
	}
	j.Record(KindRequest, id.String(), j.decisionNamed(decision), Text(reasonInput, reason))
}

// decisionNamed returns the Decision called name, which it creates on first use.
func (j *Journal) decisionNamed(name string) *Decision {
	if known, ok := j.decisions.Load(name); ok {
		return known.(*Decision)
	}
	known, _ := j.decisions.LoadOrStore(name, &Decision{Name: name, Sentence: sentenceOf(name)})
	return known.(*Decision)
}
