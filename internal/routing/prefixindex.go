package routing

import (
	"math/bits"
	"time"
)

const (
	// maxIndexedReplicas is how many replicas of a table the prefix index can hold; further
	// replicas are not indexed.
	maxIndexedReplicas = 640
	indexWords         = maxIndexedReplicas / 64
	// maxIndexedBlocks limits the number of indexed blocks.
	maxIndexedBlocks = 32768
	// blockPeriod is the minimum time for which a block is assumed to stay cached
	// without a further report; the maximum is twice as long.
	blockPeriod = 60 * time.Second
)

// replicaSet is a bit set of replicas, by Replica.indexBit.
type replicaSet [indexWords]uint64

func (s *replicaSet) add(n int)    { s[n/64] |= 1 << (n % 64) }
func (s *replicaSet) remove(n int) { s[n/64] &^= 1 << (n % 64) }

// holders are the replicas that probably have a block cached: those reported in
// the current period and in the one before.
type holders struct {
	current  replicaSet
	previous replicaSet
	period   int64
}

// rotate starts the given period and drops reports older than the period before it.
func (h *holders) rotate(period int64) {
	switch period {
	case h.period:
		return
	case h.period + 1:
		h.previous = h.current
	default:
		h.previous = replicaSet{}
	}
	h.current = replicaSet{}
	h.period = period
}

// prefixIndex maps blocks to the replicas that probably have them cached.
type prefixIndex struct {
	blocks map[Block]*holders
	// ring is a ring buffer of the indexed blocks; when it is full, the oldest is at next.
	ring []Block
	next int
	// depth is the result of match: the number of leading blocks that each replica has cached.
	depth [maxIndexedReplicas]uint8
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{blocks: make(map[Block]*holders)}
}

func periodOf(now time.Time) int64 {
	return now.UnixNano() / int64(blockPeriod)
}

// add records that replica n has block cached.
func (x *prefixIndex) add(now time.Time, block Block, n int) {
	h, ok := x.blocks[block]
	if !ok {
		h = x.insert(block)
		h.period = periodOf(now)
	}
	h.rotate(periodOf(now))
	h.current.add(n)
}

// insert adds block, replacing the oldest block if the index is full, and returns
// its empty holders.
func (x *prefixIndex) insert(block Block) *holders {
	if len(x.ring) < maxIndexedBlocks {
		h := new(holders)
		x.ring = append(x.ring, block)
		x.blocks[block] = h
		return h
	}
	oldest := x.ring[x.next]
	h := x.blocks[oldest]
	delete(x.blocks, oldest)
	*h = holders{}
	x.ring[x.next] = block
	x.next = (x.next + 1) % maxIndexedBlocks
	x.blocks[block] = h
	return h
}

// remove records that replica n has evicted block.
func (x *prefixIndex) remove(block Block, n int) {
	h, ok := x.blocks[block]
	if !ok {
		return
	}
	h.current.remove(n)
	h.previous.remove(n)
}

// removeReplica removes replica n from all blocks.
func (x *prefixIndex) removeReplica(n int) {
	for _, h := range x.blocks {
		h.current.remove(n)
		h.previous.remove(n)
	}
}

// match fills depth with the number of leading blocks that each replica has cached.
func (x *prefixIndex) match(now time.Time, blocks []Block) {
	clear(x.depth[:])
	if len(blocks) == 0 {
		return
	}
	// have are the replicas that have cached all blocks checked so far.
	var have replicaSet
	for i := range have {
		have[i] = ^uint64(0)
	}
	period := periodOf(now)
	for i, block := range blocks {
		h, ok := x.blocks[block]
		if !ok {
			x.setDepth(&have, i)
			return
		}
		h.rotate(period)
		remaining := uint64(0)
		for w := range have {
			kept := have[w] & (h.current[w] | h.previous[w])
			x.setDepthWord(w, have[w]&^kept, i)
			have[w] = kept
			remaining |= kept
		}
		if remaining == 0 {
			return
		}
	}
	x.setDepth(&have, len(blocks))
}

// setDepth sets the depth of all replicas in s to d.
func (x *prefixIndex) setDepth(s *replicaSet, d int) {
	for w := range s {
		x.setDepthWord(w, s[w], d)
	}
}

func (x *prefixIndex) setDepthWord(w int, word uint64, d int) {
	if d == 0 {
		return
	}
	for word != 0 {
		x.depth[w*64+bits.TrailingZeros64(word)] = uint8(d)
		word &= word - 1
	}
}
