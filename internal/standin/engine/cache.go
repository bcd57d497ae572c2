package engine

import (
	"strconv"
	"time"

	"mangoledge.example/mangoledge/internal/engine"
	"mangoledge.example/mangoledge/internal/routing"
)

const (
	// eventDelay is the age at which cache events are reported.
	eventDelay = 300 * time.Millisecond
	// lostEventInterval makes every 16th cache event get lost.
	lostEventInterval = 16
	// hexBase is the number base of blocks in cache events.
	hexBase = 16
)

// prefixCache holds up to capacity blocks, and none if capacity is 0; it evicts the
// oldest block first. It is guarded by Engine.mu.
type prefixCache struct {
	capacity       int
	blocks         map[routing.Block]bool
	insertionOrder []routing.Block
	events         []timedEvent
}

// timedEvent is a cache event with the time at which it happened.
type timedEvent struct {
	engine.CacheEvent
	at time.Time
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, blocks: make(map[routing.Block]bool)}
}

// matchAndAdd returns how many leading blocks are cached, and adds all blocks to the cache.
func (c *prefixCache) matchAndAdd(blocks []routing.Block) int {
	matched := 0
	for matched < len(blocks) && c.blocks[blocks[matched]] {
		matched++
	}
	for _, block := range blocks {
		c.add(block)
	}
	return matched
}

// add adds block unless it is cached, and evicts the oldest block if the cache is full.
func (c *prefixCache) add(block routing.Block) {
	if c.blocks[block] || c.capacity == 0 {
		return
	}
	if len(c.insertionOrder) >= c.capacity {
		oldest := c.insertionOrder[0]
		c.insertionOrder = c.insertionOrder[1:]
		delete(c.blocks, oldest)
		c.recordEvent(engine.CacheRemove, oldest)
	}
	c.blocks[block] = true
	c.insertionOrder = append(c.insertionOrder, block)
	c.recordEvent(engine.CacheAdd, block)
}

// recordEvent appends an event with the next sequence number.
func (c *prefixCache) recordEvent(op engine.CacheOp, block routing.Block) {
	event := engine.CacheEvent{Seq: uint64(len(c.events)) + 1, Op: op, Block: strconv.FormatUint(uint64(block), hexBase)}
	c.events = append(c.events, timedEvent{CacheEvent: event, at: time.Now()})
}

// eventsSince returns the events after sequence number seq that are at least eventDelay
// old, without those that get lost.
func (c *prefixCache) eventsSince(seq uint64) engine.CacheEvents {
	out := engine.CacheEvents{Events: []engine.CacheEvent{}, Next: seq}
	for i := int(seq); i < len(c.events); i++ { //nolint:gosec // a small number
		event := c.events[i]
		if time.Since(event.at) < eventDelay {
			break
		}
		out.Next = event.Seq
		if event.Seq%lostEventInterval != 0 {
			out.Events = append(out.Events, event.CacheEvent)
		}
	}
	return out
}
