package poison

import (
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

const (
	// maxProven bounds how many contents are remembered as having finished.
	maxProven = 65536
	// defaultHold is how long a pass lasts when its holder names no time.
	defaultHold = time.Minute
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
