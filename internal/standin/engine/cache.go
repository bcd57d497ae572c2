package engine

import (
	"strconv"
	"time"

	"mangoledge.example/mangoledge/internal/engine"
	"mangoledge.example/mangoledge/internal/routing"
)

const (
	// eventLag is how late cache events are told.
	eventLag = 300 * time.Millisecond
	// eventGap is the interval at which an event is lost.
	eventGap = 16
	// hexBase is the base that blocks are written in.
	hexBase = 16
)

// cache is a prefix cache of limited size, 0 for none; the block added first goes first.
// It is guarded by Engine.mu.
type cache struct {
	limit  int
	blocks map[routing.Block]bool
	order  []routing.Block
	events []timedEvent
}

// timedEvent is an event with the time at which it happened.
type timedEvent struct {
	engine.CacheEvent
	at time.Time
}

func newCache(limit int) *cache {
	return &cache{limit: limit, blocks: make(map[routing.Block]bool)}
}

// use returns how many leading blocks are cached and caches all of them.
func (c *cache) use(blocks []routing.Block) int {
	matched := 0
	for matched < len(blocks) && c.blocks[blocks[matched]] {
		matched++
	}
	for _, block := range blocks {
		c.add(block)
	}
	return matched
}

func (c *cache) add(block routing.Block) {
	if c.blocks[block] || c.limit == 0 {
		return
	}
	if len(c.order) >= c.limit {
		oldest := c.order[0]
		c.order = c.order[1:]
		delete(c.blocks, oldest)
		c.note(engine.CacheRemove, oldest)
	}
	c.blocks[block] = true
	c.order = append(c.order, block)
	c.note(engine.CacheAdd, block)
}

func (c *cache) note(op engine.CacheOp, block routing.Block) {
	event := engine.CacheEvent{Seq: uint64(len(c.events)) + 1, Op: op, Block: strconv.FormatUint(uint64(block), hexBase)}
	c.events = append(c.events, timedEvent{CacheEvent: event, at: time.Now()})
}

// since returns the events from a number on that are old enough to be told, with gaps.
func (c *cache) since(seq uint64) engine.CacheEvents {
	out := engine.CacheEvents{Events: []engine.CacheEvent{}, Next: seq}
	for i := int(seq); i < len(c.events); i++ { //nolint:gosec // a small number
		event := c.events[i]
		if time.Since(event.at) < eventLag {
			break
		}
		out.Next = event.Seq
		if event.Seq%eventGap != 0 {
			out.Events = append(out.Events, event.CacheEvent)
		}
	}
	return out
}
