package peer

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// shortFrameBytes is the length up to which frames are not limited.
	shortFrameBytes = 64 << 10
	// frameCopies is how many times the length of a frame is in memory at most while it arrives and is decoded.
	frameCopies = 5
	// longFrameTimeout is how long a long frame may take to arrive, once there is memory for it.
	longFrameTimeout = 5 * time.Second
)

// frameLimit bounds the memory of the long frames that arrive at a server at once, on all connections. Others wait
// at their senders; a sender that calls again after a timeout opens a new connection, so there may be many. Nil
// means no limit.
type frameLimit struct {
	capacity int64
	free     *semaphore.Weighted
}

func newFrameLimit(bytes int64) *frameLimit {
	return &frameLimit{capacity: bytes, free: semaphore.NewWeighted(bytes)}
}

// enter waits until there is memory for a frame, and returns the function that gives it back, which may be called
// more than once.
func (l *frameLimit) enter(length uint64) (leave func()) {
	if l == nil || length <= shortFrameBytes {
		return func() {}
	}
	bytes := min(int64(min(length, maxFrameBytes))*frameCopies, l.capacity)
	_ = l.free.Acquire(context.Background(), bytes) // can't fail: those that hold it have a timeout
	return sync.OnceFunc(func() { l.free.Release(bytes) })
}
