package engine

import (
	"context"
	"net/http"
	"strconv"
)

// CacheOp says what happened to a cached block.
type CacheOp string

// What happens to cached blocks.
const (
	CacheAdd    CacheOp = "add"
	CacheRemove CacheOp = "remove"
)

// CacheEvent is one event of an engine's prefix cache.
type CacheEvent struct {
	// Seq grows with each event; a number that is missing is an event that was lost.
	Seq uint64  `json:"seq"`
	Op  CacheOp `json:"op"`
	// Block is the hash of the prompt's prefix that the block ends, in hexadecimal.
	Block string `json:"block"`
}

// CacheEvents is the answer to a call for events. They come late and with gaps.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	// Next is what to ask for next.
	Next uint64 `json:"next"`
}

// ReportCacheEvents asks the engine for the events from since on.
func (c *Client) ReportCacheEvents(ctx context.Context, base string, since uint64) (*CacheEvents, error) {
	out := new(CacheEvents)
	target := base + "/v1/cache_events?since=" + strconv.FormatUint(since, 10)
	if err := c.call(ctx, http.MethodGet, target, nil, out); err != nil {
		return nil, err
	}
	return out, nil
}
