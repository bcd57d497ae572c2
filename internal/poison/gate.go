package poison

import (
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

const (
	// maxTrusted limits the number of fingerprints remembered as having finished.
	maxTrusted = 65536
	// defaultHold is how long a pass is valid if its holder gives no time.
	defaultHold = time.Minute
)

// Gate limits the number of concurrent runs of content that has not finished before, so
// that it can't crash more than MaxCrashes upstreams in total. It is safe for concurrent use.
type Gate struct {
	registry *Registry

	mu sync.Mutex
	// passes are the passes in use, each with the time at which it expires.
	passes map[Fingerprint]map[PassID]time.Time
	// trusted is the content that has finished and not crashed an upstream since.
	trusted map[Fingerprint]struct{}
	// trustedRing is a ring buffer of the fingerprints added to trusted, in that order. Once
	// it is full, ringNext is the index of the oldest one.
	trustedRing []Fingerprint
	ringNext    int
}

// NewGate returns a gate that looks up crashes in registry.
func NewGate(registry *Registry) *Gate {
	return &Gate{
		registry: registry,
		passes:   make(map[Fingerprint]map[PassID]time.Time),
		trusted:  make(map[Fingerprint]struct{}),
	}
}

// Acquire requests a pass for one run of the content, valid for at most hold.
func (g *Gate) Acquire(now time.Time, f Fingerprint, id PassID, hold time.Duration) Answer {
	g.mu.Lock()
	defer g.mu.Unlock()
	if refusal := g.registry.Check(f); refusal != nil {
		return Answer{Kind: AnswerRefuse, Crashes: g.registry.Crashes(f), Refusal: refusal}
	}
	crashes := g.registry.Crashes(f)
	if _, ok := g.trusted[f]; ok && crashes == 0 {
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

// Release returns a pass and records how the run ended.
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
		g.registry.RecordSuccess(now, f)
		g.trust(f)
	case EndingCrashed:
		delete(g.trusted, f)
		g.registry.RecordCrash(now, f, upstream, false)
	case EndingOther:
	}
}

// trust remembers that the content finished; if the ring is full, the oldest content is
// forgotten.
func (g *Gate) trust(f Fingerprint) {
	if _, ok := g.trusted[f]; ok {
		return
	}
	g.trusted[f] = struct{}{}
	if len(g.trustedRing) < maxTrusted {
		g.trustedRing = append(g.trustedRing, f)
		return
	}
	if g.trustedRing[g.ringNext] != f {
		delete(g.trusted, g.trustedRing[g.ringNext])
	}
	g.trustedRing[g.ringNext] = f
	g.ringNext = (g.ringNext + 1) % maxTrusted
}
