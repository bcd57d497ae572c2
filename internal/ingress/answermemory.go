package ingress

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	// ShortAnswer is the length up to which answers need no reservation, in bytes.
	ShortAnswer = 16 << 10
	// answerMemoryPercent is the part of a process's memory limit that one AnswerMemory bounds, in percent,
	// and defaultAnswerMemory, in bytes, what it bounds in a process without a limit.
	answerMemoryPercent = 9
	defaultAnswerMemory = 256 << 20
	// answerCopies is how many times the length of an answer is in memory at most: while it is read, encoded,
	// and reported to another node.
	answerCopies = 4
	// makeRoomInterval is how often an answer that waits asks for room.
	makeRoomInterval = time.Second
)

// AnswerMemory bounds the memory of long answers: those that arrive, and those that are sent to callers. An answer
// can't be refused, as its request has run; it waits at its sender. It is safe for concurrent use.
type AnswerMemory struct {
	capacity int64
	free     *semaphore.Weighted
	// makeRoom is called while an answer waits.
	makeRoom func()
}

// NewAnswerMemory returns the AnswerMemory of a process, from its memory limit in MB; 0 means no limit. makeRoom
// disconnects a client that keeps an answer in memory by not reading it, if there is one.
func NewAnswerMemory(memoryMB int, makeRoom func()) *AnswerMemory {
	capacity := int64(defaultAnswerMemory)
	if memoryMB > 0 {
		capacity = int64(memoryMB) << 20 * answerMemoryPercent / 100
	}
	return &AnswerMemory{capacity: capacity, free: semaphore.NewWeighted(capacity), makeRoom: makeRoom}
}

// Reserve waits until there is memory for an answer of length bytes, and returns the function that gives it back.
// It fails only if ctx ends. An answer that alone is over the limit waits for all others. On a nil AnswerMemory
// it reserves nothing.
func (m *AnswerMemory) Reserve(ctx context.Context, length int64) (release func(), err error) {
	if m == nil || length <= ShortAnswer {
		return func() {}, nil
	}
	bytes := min(length*answerCopies, m.capacity)
	if !m.free.TryAcquire(bytes) {
		if err := m.wait(ctx, bytes); err != nil {
			return nil, err
		}
	}
	return sync.OnceFunc(func() { m.free.Release(bytes) }), nil
}

// wait acquires memory, and makes room from time to time until there is enough.
func (m *AnswerMemory) wait(ctx context.Context, bytes int64) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		ticker := time.NewTicker(makeRoomInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				m.makeRoom()
			}
		}
	}()
	return m.free.Acquire(ctx, bytes)
}

// Scope collects what is held for a caller's request until its response was sent. It is safe for concurrent use.
type Scope struct {
	mu      sync.Mutex
	ended   bool
	release []func()
}

// scopeKey is the key of a request's *Scope in its context.
type scopeKey struct{}

// WithScope returns a context with a new Scope, which the caller ends.
func WithScope(ctx context.Context) (context.Context, *Scope) {
	s := new(Scope)
	return context.WithValue(ctx, scopeKey{}, s), s
}

// HoldInScope calls release at the end of the Scope in ctx, or at once if there is none or it has ended.
func HoldInScope(ctx context.Context, release func()) {
	s, _ := ctx.Value(scopeKey{}).(*Scope)
	if s == nil || !s.add(release) {
		release()
	}
}

func (s *Scope) add(release func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		s.release = append(s.release, release)
	}
	return !s.ended
}

// End releases all that the scope holds.
func (s *Scope) End() {
	s.mu.Lock()
	release := s.release
	s.release, s.ended = nil, true
	s.mu.Unlock()
	for _, f := range release {
		f()
	}
}
