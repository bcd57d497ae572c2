// Package explain keeps what a node decided, by which inputs, so that an
// operator can ask for it afterwards. It is cheap enough for the path of each
// request: a decision is a fixed record in a ring, and its sentence is only
// written when somebody asks.
//
// Invariants: memory is bounded by the capacity; a full ring forgets its oldest
// entries; decisions about requests never push out those about upstreams, hosts
// or changes; no content of a request is recorded.
//
// Lock order: the lock of a shard is a leaf.
package explain

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"mangoledge.example/mangoledge/internal/ident"
)

// DefaultCapacity is how many decisions about requests a node remembers, and
// otherCapacity those about each other kind.
const (
	DefaultCapacity = 16384
	otherCapacity   = 2048
	shardCount      = 16
)

// Journal remembers the decisions of one node. It is safe for concurrent use.
type Journal struct {
	node   ident.Incarnation
	now    func() time.Time
	shards [kinds][shardCount]shard
	// decisions holds the *Decision of each name given to Request.
	decisions sync.Map
}

// shard is one ring.
type shard struct {
	mu    sync.Mutex
	slots []slot
	next  int
}

// slot is an entry without pointers to slices.
type slot struct {
	at       time.Time
	id       string
	decision *Decision
	inputs   [MaxInputs]Input
	count    uint8
}

// NewJournal returns a journal that remembers capacity decisions about requests.
func NewJournal(node ident.Incarnation, capacity int, now func() time.Time) *Journal {
	j := &Journal{node: node, now: now}
	for kind := range kinds {
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

// Record notes a decision. decision must stay as it is; inputs are copied.
func (j *Journal) Record(kind Kind, id string, decision *Decision, inputs ...Input) {
	if j == nil || kind >= kinds {
		return
	}
	at := j.now()
	s := j.shard(kind, id)
	s.mu.Lock()
	defer s.mu.Unlock()
	target := s.slot()
	target.at = at
	target.id = id
	target.decision = decision
	target.count = uint8(copy(target.inputs[:], inputs))
}

// slot returns the slot to write next; the caller holds mu.
func (s *shard) slot() *slot {
	if len(s.slots) < cap(s.slots) {
		s.slots = append(s.slots, slot{})
		return &s.slots[len(s.slots)-1]
	}
	target := &s.slots[s.next]
	s.next = (s.next + 1) % len(s.slots)
	return target
}

// Lookup returns what is remembered about a subject, the oldest first.
func (j *Journal) Lookup(subject Subject) []Entry {
	if subject.Kind >= kinds {
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

func (j *Journal) entry(subject Subject, s *slot) Entry {
	return Entry{
		At:       s.at,
		Node:     j.node,
		Subject:  subject,
		Decision: *s.decision,
		Inputs:   append([]Input(nil), s.inputs[:s.count]...),
	}
}

func (j *Journal) shard(kind Kind, id string) *shard {
	return &j.shards[kind][xxhash.Sum64String(id)%shardCount]
}

// reasonInput is the one input of decisions noted by Request; their sentence holds it whole.
const reasonInput = "reason"

// Request notes a decision about a request whose reason is already a sentence.
func (j *Journal) Request(id ident.RequestID, decision, reason string) {
	if j == nil {
		return
	}
	j.Record(KindRequest, id.String(), j.named(decision), Text(reasonInput, reason))
}

// named returns the Decision called name.
func (j *Journal) named(name string) *Decision {
	if known, ok := j.decisions.Load(name); ok {
		return known.(*Decision)
	}
	known, _ := j.decisions.LoadOrStore(name, &Decision{Name: name, Sentence: sentenceOf(name)})
	return known.(*Decision)
}
