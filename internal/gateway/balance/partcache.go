package balance

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"mangoledge.example/mangoledge/internal/gateway/site"
)

const (
	// partMemoryPercent is the part of a process's memory limit that remembered prompt parts may take, in
	// percent, and partBytes what one of them takes.
	partMemoryPercent = 8
	partBytes         = 160
	// defaultMaxParts is how many are remembered in a process without a memory limit.
	defaultMaxParts = 1 << 17
)

// MaxParts returns how many prompt parts a process may remember, from its memory limit in MB; 0 means no
// limit.
func MaxParts(memoryMB int) int {
	if memoryMB <= 0 {
		return defaultMaxParts
	}
	return memoryMB << 20 / 100 * partMemoryPercent / partBytes
}

// partCache is what an upstream has presumably cached, judging by this node's own requests: the prompt
// parts sent there, the most recently sent ones first. Clients choose the parts' IDs, so only their hashes are
// kept.
type partCache struct {
	parts *simplelru.LRU[uint64, cachedPart]
	// tokens is the sum of the parts' tokens.
	tokens int
}

// cachedPart is a prompt part in a partCache.
type cachedPart struct {
	lastUsed time.Time
	tokens   int
}

func newPartCache() *partCache {
	c := new(partCache)
	evicted := func(_ uint64, part cachedPart) { c.tokens -= part.tokens }
	// The size is positive, so there is no error. record keeps to smaller limits.
	c.parts, _ = simplelru.NewLRU(1<<30, evicted)
	return c
}

// lastUsed returns when a part was last sent to the upstream, and whether it is remembered.
func (c *partCache) lastUsed(id string) (time.Time, bool) {
	part, found := c.parts.Peek(xxhash.Sum64String(id))
	return part.lastUsed, found
}

// record adds a part that was sent to the upstream. A part beyond capacity, the upstream's in tokens, counts
// as that much.
func (c *partCache) record(part site.PromptPart, now time.Time, capacity int) {
	id := xxhash.Sum64String(part.ID)
	known, found := c.parts.Peek(id)
	if !found {
		known.tokens = min(part.Tokens, capacity+1)
		c.tokens += known.tokens
	}
	known.lastUsed = now
	c.parts.Add(id, known)
}

// evict removes the least recently used parts beyond the upstream's capacity in tokens, and beyond maxParts.
func (c *partCache) evict(capacity, maxParts int) {
	for c.parts.Len() > maxParts || c.tokens > capacity && c.parts.Len() > 0 {
		c.parts.RemoveOldest()
	}
}
