package peers

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// minAliveTimeout is the minimum time for which a node counts as alive after its last message;
	// aliveIntervals is the same in message intervals, at sites whose interval is longer. Both
	// allow for a few lost messages.
	minAliveTimeout = 1200 * time.Millisecond
	aliveIntervals  = 4
	// retention is how long the last message of a process that ended is kept.
	retention = 60 * time.Second
)

// Peer is the last message of a process of another node, and when it arrived.
type Peer struct {
	Message
	HeardAt time.Time
}

// Table holds the last message of each process. It is safe for concurrent use.
type Table struct {
	now func() time.Time

	mu sync.Mutex
	// newest holds the last message of the newest process of each node, sorted by node name. A
	// Peer in it is never modified, so it may be handed out.
	newest []*Peer
	// ended holds the last messages of processes that a newer process of their node replaced.
	ended []*Peer
}

// NewTable returns an empty table; now returns the current time.
func NewTable(now func() time.Time) *Table {
	return &Table{now: now}
}

// Update stores a message unless it is outdated, and reports whether it was stored.
func (t *Table) Update(m *Message) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	at, found := t.find(m.Node)
	next := &Peer{Message: *m, HeardAt: now}
	if !found {
		t.newest = slices.Insert(t.newest, at, next)
		return true
	}
	known := t.newest[at]
	switch {
	case known.Incarnation == m.Incarnation && m.Sequence <= known.Sequence:
		return false
	case known.Incarnation > m.Incarnation && now.Sub(known.HeardAt) <= minAliveTimeout:
		// Either a late message of a process that ended, or one of a new process whose host's
		// clock was set back. The latter is accepted once the known process has been silent for
		// minAliveTimeout.
		return false
	case known.Incarnation != m.Incarnation:
		t.ended = append(t.ended, known)
	default:
		next.Message = m.withDefaultsFrom(&known.Message)
	}
	t.newest[at] = next
	return true
}

// Has reports whether a message, or a newer one of the same process, was stored.
func (t *Table) Has(node, incarnation string, sequence uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, found := t.find(node)
	return found && t.newest[at].Incarnation == incarnation && t.newest[at].Sequence >= sequence
}

// find returns the position of a node in newest, or where it belongs. It is called with mu held.
func (t *Table) find(node string) (at int, found bool) {
	return slices.BinarySearchFunc(t.newest, node, func(p *Peer, node string) int { return cmp.Compare(p.Node, node) })
}

// Alive returns the nodes heard from recently, sorted by name. The peers are shared: callers
// must not modify them.
func (t *Table) Alive() []*Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	limit := max(minAliveTimeout, aliveIntervals*PropagationInterval(len(t.newest)))
	out := make([]*Peer, 0, len(t.newest))
	for _, p := range t.newest {
		if now.Sub(p.HeardAt) <= limit {
			out = append(out, p)
		}
	}
	return out
}

// TimeSinceHeard returns the time since a peer's last message.
func (t *Table) TimeSinceHeard(p *Peer) time.Duration { return t.now().Sub(p.HeardAt) }

// All returns the last message of every process, those that ended included.
func (t *Table) All() []*Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Concat(t.newest, t.ended)
}

// RemoveExpired removes messages older than retention.
func (t *Table) RemoveExpired() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	old := func(p *Peer) bool { return now.Sub(p.HeardAt) > retention }
	t.newest = slices.DeleteFunc(t.newest, old)
	t.ended = slices.DeleteFunc(t.ended, old)
}
