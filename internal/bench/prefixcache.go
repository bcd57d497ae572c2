package bench

import (
	"mangoledge.example/mangoledge/internal/routing"
)

// prefixCache is the prompt block cache of a simulated engine. It evicts the least
// recently used block.
type prefixCache struct {
	limit  int
	nodes  map[routing.Block]*cacheNode
	head   *cacheNode
	tail   *cacheNode
	events []routing.CacheEvent
}

// cacheNode is a cached block in the list from most to least recently used.
type cacheNode struct {
	block      routing.Block
	prev, next *cacheNode
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, nodes: make(map[routing.Block]*cacheNode)}
}

// match returns how many leading blocks are cached and marks them as used.
func (c *prefixCache) match(blocks []routing.Block) int {
	for i, b := range blocks {
		n, ok := c.nodes[b]
		if !ok {
			return i
		}
		c.unlink(n)
		c.pushFront(n)
	}
	return len(blocks)
}

// add puts blocks into the cache and marks them as used.
func (c *prefixCache) add(blocks []routing.Block) {
	for _, b := range blocks {
		if n, ok := c.nodes[b]; ok {
			c.unlink(n)
			c.pushFront(n)
			continue
		}
		c.insert(b)
	}
}

// insert adds a block that is not cached, and evicts the oldest one if the cache is full.
func (c *prefixCache) insert(b routing.Block) {
	if len(c.nodes) >= c.limit {
		oldest := c.tail
		c.unlink(oldest)
		delete(c.nodes, oldest.block)
		c.events = append(c.events, routing.CacheEvent{Op: routing.CacheRemove, Block: oldest.block})
	}
	n := &cacheNode{block: b}
	c.nodes[b] = n
	c.pushFront(n)
	c.events = append(c.events, routing.CacheEvent{Op: routing.CacheAdd, Block: b})
}

func (c *prefixCache) pushFront(n *cacheNode) {
	n.prev = nil
	n.next = c.head
	if c.head != nil {
		c.head.prev = n
	}
	c.head = n
	if c.tail == nil {
		c.tail = n
	}
}

func (c *prefixCache) unlink(n *cacheNode) {
	if n.prev != nil {
		n.prev.next = n.next
	} else {
		c.head = n.next
	}
	if n.next != nil {
		n.next.prev = n.prev
	} else {
		c.tail = n.prev
	}
	n.prev, n.next = nil, nil
}

// takeEvents returns the cache events since the last call.
func (c *prefixCache) takeEvents() []routing.CacheEvent {
	events := c.events
	c.events = nil
	return events
}
