package witness

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"mangoledge.example/mangoledge/internal/grant"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
)

const (
	// shardCount is how many parts a table is split into.
	shardCount = 16
	// shardLimit is the most non-idempotent requests of one shard, expired ones included.
	shardLimit = 1 << 16
)

// holding is the sharded table of one witness incarnation at this node.
type holding struct {
	witness ident.Incarnation
	shards  [shardCount]shard

	mu sync.Mutex
	// chunks are the parts of a snapshot that have arrived; nil once installed.
	chunks map[int]*grant.Snapshot
	// successor is set when the table is closed.
	successor *membership.Member
	// moved is closed when the successor answers.
	moved chan struct{}
}

// newHolding returns the table of this node's own incarnation.
func newHolding(witness ident.Incarnation) *holding {
	h := &holding{witness: witness, moved: make(chan struct{})}
	for i := range h.shards {
		h.shards[i].table = grant.NewTable(shardLimit)
	}
	return h
}

// newSuccessorHolding returns a table that answers once its snapshot is installed.
func newSuccessorHolding(witness ident.Incarnation) *holding {
	h := &holding{witness: witness, moved: make(chan struct{}), chunks: make(map[int]*grant.Snapshot)}
	for i := range h.shards {
		h.shards[i].table = grant.NewSuccessorTable(shardLimit)
	}
	return h
}

// shardOf returns the shard that id belongs to.
func (h *holding) shardOf(id ident.RequestID) *shard {
	return &h.shards[shardIndex(id)]
}

func shardIndex(id ident.RequestID) int {
	return int(xxhash.Sum64String(id.Random) % shardCount)
}

// place returns the successor that the table was closed for, and the signal that it answers.
func (h *holding) place() (*membership.Member, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.successor, h.moved
}

// close stops every shard in favour of successor.
func (h *holding) close(successor membership.Member) error {
	h.mu.Lock()
	if h.successor != nil && h.successor.Incarnation != successor.Incarnation {
		h.mu.Unlock()
		return grant.ErrOtherSuccessor
	}
	h.successor = &successor
	h.mu.Unlock()
	for i := range h.shards {
		var err error
		h.shards[i].do(func(t *grant.Table) { err = t.Close(successor.Incarnation) })
		if err != nil {
			return err
		}
	}
	return nil
}

// markMoved tells those who wait that the successor answers.
func (h *holding) markMoved() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.hasMoved() {
		close(h.moved)
	}
}

func (h *holding) hasMoved() bool {
	select {
	case <-h.moved:
		return true
	default:
		return false
	}
}

// snapshot returns the whole table; it must have been closed.
func (h *holding) snapshot() ([]grant.Snapshot, error) {
	out := make([]grant.Snapshot, 0, shardCount)
	for i := range h.shards {
		var part grant.Snapshot
		var err error
		h.shards[i].do(func(t *grant.Table) { part, err = t.Snapshot() })
		if err != nil {
			return nil, err
		}
		out = append(out, part)
	}
	return out, nil
}

// accept keeps one part of a snapshot. A part that comes again, or after the
// table was installed, changes nothing.
func (h *holding) accept(index int, part *grant.Snapshot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.chunks == nil {
		return
	}
	if _, ok := h.chunks[index]; !ok {
		h.chunks[index] = part
	}
}

// install makes the table answer when all count parts are there, and reports whether it does.
func (h *holding) install(count int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.chunks == nil {
		return true
	}
	if len(h.chunks) != count {
		return false
	}
	for i := range h.shards {
		part := h.partFor(i)
		h.shards[i].do(func(t *grant.Table) { t.Adopt(part) })
	}
	h.chunks = nil
	return true
}

// partFor collects what shard i gets from all parts: its entries and the
// fingerprints that travel in parts marked with its number.
func (h *holding) partFor(i int) *grant.Snapshot {
	out := new(grant.Snapshot)
	for _, chunk := range h.chunks {
		if chunk.Shard != i {
			continue
		}
		out.Entries = append(out.Entries, chunk.Entries...)
		out.Spent = append(out.Spent, chunk.Spent...)
		out.Forgotten = max(out.Forgotten, chunk.Forgotten)
		out.Full = out.Full || chunk.Full
	}
	return out
}

// isAdopting reports whether the table waits for its snapshot.
func (h *holding) isAdopting() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.chunks != nil
}
