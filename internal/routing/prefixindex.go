package routing

import (
	"math/bits"
	"time"
)

const (
	// indexedReplicas is how many replicas of a table the prefix index can tell apart.
	indexedReplicas = 640
	indexWords      = indexedReplicas / 64
	// indexedBlocks bounds how many blocks are remembered.
	indexedBlocks = 32768
	// blockAge is how long a block is believed cached at least, at most twice this, when nothing is heard of it.
	blockAge = 60 * time.Second
)

// replicaSet is a set of replica numbers.
type replicaSet [indexWords]uint64

func (s *replicaSet) add(n int)    { s[n/64] |= 1 << (n % 64) }
func (s *replicaSet) remove(n int) { s[n/64] &^= 1 << (n % 64) }

// holders are the replicas believed to have a block cached: those heard of in
// the present age and in the one before it.
type holders struct {
	young replicaSet
	old   replicaSet
	age   int64
}

// advance drops what was heard of too long ago.
func (h *holders) advance(age int64) {
	switch age {
	case h.age:
		return
	case h.age + 1:
		h.old = h.young
	default:
		h.old = replicaSet{}
	}
	h.young = replicaSet{}
	h.age = age
}

// prefixIndex maps blocks to the replicas believed to have them cached.
type prefixIndex struct {
	blocks map[Block]*holders
	// order is a ring of the remembered blocks, the oldest at next.
	order []Block
	next  int
	// depth is scratch space of match: how many leading blocks each replica has.
	depth [indexedReplicas]uint8
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{blocks: make(map[Block]*holders)}
}

func ageOf(now time.Time) int64 {
	return now.UnixNano() / int64(blockAge)
}

// add notes that replica n has block.
func (x *prefixIndex) add(now time.Time, block Block, n int) {
	h, ok := x.blocks[block]
	if !ok {
		h = x.remember(block)
		h.age = ageOf(now)
	}
	h.advance(ageOf(now))
	h.young.add(n)
}

// remember makes room for block and returns its empty holders.
func (x *prefixIndex) remember(block Block) *holders {
	if len(x.order) < indexedBlocks {
		h := new(holders)
		x.order = append(x.order, block)
		x.blocks[block] = h
		return h
	}
	oldest := x.order[x.next]
	h := x.blocks[oldest]
	delete(x.blocks, oldest)
	*h = holders{}
	x.order[x.next] = block
	x.next = (x.next + 1) % indexedBlocks
	x.blocks[block] = h
	return h
}

// remove notes that replica n no longer has block.
func (x *prefixIndex) remove(block Block, n int) {
	h, ok := x.blocks[block]
	if !ok {
		return
	}
	h.young.remove(n)
	h.old.remove(n)
}

// forget drops everything about replica n.
func (x *prefixIndex) forget(n int) {
	for _, h := range x.blocks {
		h.young.remove(n)
		h.old.remove(n)
	}
}

// match fills depth with how many leading blocks each replica has.
func (x *prefixIndex) match(now time.Time, blocks []Block) {
	clear(x.depth[:])
	if len(blocks) == 0 {
		return
	}
	var have replicaSet
	for i := range have {
		have[i] = ^uint64(0)
	}
	age := ageOf(now)
	for i, block := range blocks {
		h, ok := x.blocks[block]
		if !ok {
			x.settle(&have, i)
			return
		}
		h.advance(age)
		left := uint64(0)
		for w := range have {
			kept := have[w] & (h.young[w] | h.old[w])
			x.settleWord(w, have[w]&^kept, i)
			have[w] = kept
			left |= kept
		}
		if left == 0 {
			return
		}
	}
	x.settle(&have, len(blocks))
}

// settle gives all replicas of s the depth d.
func (x *prefixIndex) settle(s *replicaSet, d int) {
	for w := range s {
		x.settleWord(w, s[w], d)
	}
}

func (x *prefixIndex) settleWord(w int, word uint64, d int) {
	if d == 0 {
		return
	}
	for word != 0 {
		x.depth[w*64+bits.TrailingZeros64(word)] = uint8(d)
		word &= word - 1
	}
}
