package peers

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// aliveFor is for how long a node counts as alive after its last message, at least,
	// and aliveIntervals how many messages may be due meanwhile: a few may be lost.
	aliveFor       = 1200 * time.Millisecond
	aliveIntervals = 4
	// keepFor is for how long the last word of a dead process is kept.
	keepFor = 60 * time.Second
)

// Peer is another node as it told of itself last.
type Peer struct {
	Message
	Heard time.Time
}

// Table holds the last message of each process. It is safe for concurrent use.
type Table struct {
	now func() time.Time

	mu sync.Mutex
	// latest is the last message of the newest process of each node, ordered by the
	// nodes' names. A Peer is not changed once it is in here, so it may be handed out.
	latest []*Peer
	// ended holds the last messages of processes that others replaced.
	ended []*Peer
}

// NewTable returns an empty table.
func NewTable(now func() time.Time) *Table {
	return &Table{now: now}
}

// Hear takes over a message and reports whether it is news.
func (t *Table) Hear(m *Message) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	at, found := slices.BinarySearchFunc(t.latest, m.Node, func(p *Peer, node string) int { return cmp.Compare(p.Node, node) })
	next := &Peer{Message: *m, Heard: now}
	if !found {
		t.latest = slices.Insert(t.latest, at, next)
		return true
	}
	known := t.latest[at]
	switch {
	case known.Incarnation == m.Incarnation && m.Sequence <= known.Sequence:
		return false
	case known.Incarnation > m.Incarnation && now.Sub(known.Heard) <= aliveFor:
		// A late message of a process that is over. One that goes on is of a new
		// process whose host's time of day went back.
		return false
	case known.Incarnation != m.Incarnation:
		t.ended = append(t.ended, known)
	default:
		next.Message = m.completed(&known.Message)
	}
	t.latest[at] = next
	return true
}

// Alive returns the nodes that were heard lately, ordered by name. They are shared:
// the caller does not change them.
func (t *Table) Alive() []*Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	limit := max(aliveFor, aliveIntervals*Interval(len(t.latest)))
	out := make([]*Peer, 0, len(t.latest))
	for _, p := range t.latest {
		if now.Sub(p.Heard) <= limit {
			out = append(out, p)
		}
	}
	return out
}

// Since returns how long ago a peer was heard.
func (t *Table) Since(p *Peer) time.Duration { return t.now().Sub(p.Heard) }

// All returns the last word of every process, dead ones included.
func (t *Table) All() []*Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Concat(t.latest, t.ended)
}

// Forget drops what was heard too long ago.
func (t *Table) Forget() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	old := func(p *Peer) bool { return now.Sub(p.Heard) > keepFor }
	t.latest = slices.DeleteFunc(t.latest, old)
	t.ended = slices.DeleteFunc(t.ended, old)
}
