package poison

import (
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/verdict"
)

const (
	// maxProven bounds how many contents are remembered as having finished.
	maxProven = 65536
	// defaultHold is how long a pass lasts when its holder names no time.
	defaultHold = time.Minute
)

// PassID names a pass: its holder and the holder's own number.
type PassID struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Holder ident.IncarnationHash
	Serial uint64
}

// Answer is what a gate says to a content.
type Answer struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Kind AnswerKind
	// Crashes is how many crashes count against the content. When there are
	// any, the run must not share its upstream with another suspect.
	Crashes int
	// Refusal is set when Kind is AnswerRefuse.
	Refusal *verdict.Error
}

// AnswerKind says whether a content may run.
type AnswerKind uint8

// The answers of a gate.
const (
	// AnswerPass lets the content run; the pass is to be given back.
	AnswerPass AnswerKind = iota
	// AnswerWait means that as many runs of the content are going on as crashes are left to it.
	AnswerWait
	// AnswerRefuse means that the content is convicted.
	AnswerRefuse
)

// Ending is how a run under a pass ended.
type Ending uint8

// The endings of a run.
const (
	// EndingOther says nothing about the content.
	EndingOther Ending = iota
	// EndingFinished means that the content ran to its end.
	EndingFinished
	// EndingCrashed means that the upstream died while it ran the content.
	EndingCrashed
)

// Gate bounds how many runs of an unproven content go on at once, so that they
// can't crash more upstreams than MaxCrashes in all. It is safe for concurrent use.
type Gate struct {
	registry *Registry

	mu     sync.Mutex
	passes map[Fingerprint]map[PassID]time.Time
	proven map[Fingerprint]struct{}
	ring   []Fingerprint
	next   int
}

// NewGate returns a gate that looks up crashes in registry.
func NewGate(registry *Registry) *Gate {
	return &Gate{
		registry: registry,
		passes:   make(map[Fingerprint]map[PassID]time.Time),
		proven:   make(map[Fingerprint]struct{}),
	}
}

// Acquire asks to run a content once, for at most hold.
func (g *Gate) Acquire(now time.Time, f Fingerprint, id PassID, hold time.Duration) Answer {
	g.mu.Lock()
	defer g.mu.Unlock()
	if refusal := g.registry.Check(f); refusal != nil {
		return Answer{Kind: AnswerRefuse, Crashes: g.registry.Crashes(f), Refusal: refusal}
	}
	crashes := g.registry.Crashes(f)
	if _, ok := g.proven[f]; ok && crashes == 0 {
		return Answer{Kind: AnswerPass, Crashes: crashes}
	}
	held := g.passes[f]
	for other, until := range held {
		if !until.After(now) {
			delete(held, other)
		}
	}
	if _, again := held[id]; again {
		return Answer{Kind: AnswerPass, Crashes: crashes}
	}
	if len(held)+crashes >= MaxCrashes {
		return Answer{Kind: AnswerWait, Crashes: crashes}
	}
	if held == nil {
		held = make(map[PassID]time.Time)
		g.passes[f] = held
	}
	if hold <= 0 {
		hold = defaultHold
	}
	held[id] = now.Add(hold)
	return Answer{Kind: AnswerPass, Crashes: crashes}
}

// Release gives a pass back and says how the run ended.
func (g *Gate) Release(now time.Time, f Fingerprint, id PassID, upstream ident.Upstream, ending Ending) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if held, ok := g.passes[f]; ok {
		delete(held, id)
		if len(held) == 0 {
			delete(g.passes, f)
		}
	}
	switch ending {
	case EndingFinished:
		g.registry.Succeeded(now, f)
		g.prove(f)
	case EndingCrashed:
		delete(g.proven, f)
		g.registry.Crashed(now, f, upstream, false)
	case EndingOther:
	}
}

// prove remembers that the content finished; the oldest is forgotten when there are too many.
func (g *Gate) prove(f Fingerprint) {
	if _, ok := g.proven[f]; ok {
		return
	}
	g.proven[f] = struct{}{}
	if len(g.ring) < maxProven {
		g.ring = append(g.ring, f)
		return
	}
	if g.ring[g.next] != f {
		delete(g.proven, g.ring[g.next])
	}
	g.ring[g.next] = f
	g.next = (g.next + 1) % maxProven
}
