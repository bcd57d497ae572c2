package witness

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"mangoledge.example/mangoledge/internal/grant"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
)

const (
	// shardCount is the number of shards of a table.
	shardCount = 16
	// shardLimit is the maximum number of non-idempotent requests of one shard,
	// including the spent ones whose fingerprint is stored.
	shardLimit = 1 << 16
)

// heldTable is the table of one witness incarnation as held at this node.
type heldTable struct {
	witness ident.Incarnation
	shards  [shardCount]shard

	mu sync.Mutex
	// chunks are the received parts of a snapshot; nil once the table answers.
	chunks map[int]*grant.Snapshot
	// successor is set when the table is closed.
	successor *membership.Member
	// moved is closed once the successor answers for the table.
	moved chan struct{}
}

// newOwnTable returns the table of this node's own incarnation.
func newOwnTable(witness ident.Incarnation) *heldTable {
	h := &heldTable{witness: witness, moved: make(chan struct{})}
	for i := range h.shards {
		h.shards[i].table = grant.NewTable(shardLimit)
	}
	return h
}

// newSuccessorTable returns a table that answers once its snapshot is installed.
func newSuccessorTable(witness ident.Incarnation) *heldTable {
	h := &heldTable{witness: witness, moved: make(chan struct{}), chunks: make(map[int]*grant.Snapshot)}
	for i := range h.shards {
		h.shards[i].table = grant.NewSuccessorTable(shardLimit)
	}
	return h
}

// limitInputs makes all shards count the inputs of requests in progress. It is called before the table is used.
func (h *heldTable) limitInputs(inputs *grant.Inputs) {
	for i := range h.shards {
		h.shards[i].table.LimitInputs(inputs)
	}
}

// shardOf returns the shard that id belongs to.
func (h *heldTable) shardOf(id ident.RequestID) *shard {
	return &h.shards[shardIndex(id)]
}

// shardIndex returns the number of the shard that id belongs to. It must be the same at
// every node, because a snapshot is installed shard by shard.
func shardIndex(id ident.RequestID) int {
	return int(xxhash.Sum64String(id.Random) % shardCount)
}

// successorAndMoved returns the successor that the table was closed for, or nil, and
// a channel that is closed once the successor answers.
func (h *heldTable) successorAndMoved() (*membership.Member, <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.successor, h.moved
}

// close permanently stops every shard in favour of successor.
func (h *heldTable) close(successor membership.Member) error {
	h.mu.Lock()
	if h.successor != nil && h.successor.Incarnation != successor.Incarnation {
		h.mu.Unlock()
		return grant.ErrOtherSuccessor
	}
	h.successor = &successor
	h.mu.Unlock()
	for i := range h.shards {
		var err error
		h.shards[i].withLock(func(t *grant.Table) { err = t.Close(successor.Incarnation) })
		if err != nil {
			return err
		}
	}
	return nil
}

// markMoved signals that the successor answers from now on.
func (h *heldTable) markMoved() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.hasMoved() {
		close(h.moved)
	}
}

// hasMoved reports whether the successor answers.
func (h *heldTable) hasMoved() bool {
	select {
	case <-h.moved:
		return true
	default:
		return false
	}
}

// snapshot returns one snapshot for each shard; the table must have been closed.
func (h *heldTable) snapshot() ([]grant.Snapshot, error) {
	out := make([]grant.Snapshot, 0, shardCount)
	for i := range h.shards {
		var part grant.Snapshot
		var err error
		h.shards[i].withLock(func(t *grant.Table) { part, err = t.Snapshot() })
		if err != nil {
			return nil, err
		}
		out = append(out, part)
	}
	return out, nil
}

// addChunk stores one part of a snapshot. A part that arrives again, or after the
// table was installed, changes nothing.
func (h *heldTable) addChunk(index int, part *grant.Snapshot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.chunks == nil {
		return
	}
	if _, ok := h.chunks[index]; !ok {
		h.chunks[index] = part
	}
}

// install installs the snapshot if all count parts have been received, and reports
// whether the table answers.
func (h *heldTable) install(count int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.chunks == nil {
		return true
	}
	if len(h.chunks) != count {
		return false
	}
	for i := range h.shards {
		part := h.mergeChunks(i)
		h.shards[i].withLock(func(t *grant.Table) { t.Install(part) })
	}
	h.chunks = nil
	return true
}

// mergeChunks merges the received parts that belong to shard i into one snapshot: its entries,
// and the fingerprints of the parts that carry its number.
func (h *heldTable) mergeChunks(i int) *grant.Snapshot {
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

// awaitsSnapshot reports whether the table waits for its snapshot.
func (h *heldTable) awaitsSnapshot() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.chunks != nil
}
