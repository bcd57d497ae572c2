package engine

import (
	"context"
	"net/http"
	"strconv"
)

// CacheOp is the kind of change to a cached block.
type CacheOp string

// The values of CacheOp.
const (
	CacheAdd    CacheOp = "add"
	CacheRemove CacheOp = "remove"
)

// CacheEvent is one change in an engine's prefix cache.
type CacheEvent struct {
	// Seq increases by one with each event; a gap means that events were lost.
	Seq uint64  `json:"seq"`
	Op  CacheOp `json:"op"`
	// Block is the hash of the prompt's prefix up to the end of the block, in
	// hexadecimal.
	Block string `json:"block"`
}

// CacheEvents is the response to a request for cache events. Events may be late, and
// some may be missing.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	// Next is the sequence number to pass as since in the next request.
	Next uint64 `json:"next"`
}

// ReportCacheEvents returns the engine's cache events from sequence number since on.
func (c *Client) ReportCacheEvents(ctx context.Context, base string, since uint64) (*CacheEvents, error) {
	out := new(CacheEvents)
	target := base + "/v1/cache_events?since=" + strconv.FormatUint(since, 10)
	if err := c.call(ctx, http.MethodGet, target, nil, out); err != nil {
		return nil, err
	}
	return out, nil
}
