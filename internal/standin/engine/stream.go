package engine

import (
	"context"
	"sync"

	"mangoledge.example/mangoledge/internal/engine"
)

// stream is one completion, running or lately finished.
type stream struct {
	completion engine.Completion
	cancel     context.CancelFunc

	mu       sync.Mutex
	tokens   []string
	done     bool
	exported bool
	changed  chan struct{}
}

func newStream(completion engine.Completion, cancel context.CancelFunc) *stream {
	tokens := append([]string(nil), completion.Prefix...)
	return &stream{completion: completion, cancel: cancel, tokens: tokens, changed: make(chan struct{})}
}

// last returns the text that the next token follows, and the next token's index.
func (s *stream) last() (string, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.tokens) == 0 {
		return s.completion.Prompt, 0
	}
	return s.tokens[len(s.tokens)-1], len(s.tokens)
}

func (s *stream) add(token string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = append(s.tokens, token)
	s.wake()
}

func (s *stream) finish(exported bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done {
		return
	}
	s.done = true
	s.exported = exported
	s.wake()
}

// wake wakes all readers; s.mu is held.
func (s *stream) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// view is what a reader sees of a stream at one moment.
type view struct {
	tokens   []string
	done     bool
	exported bool
	changed  <-chan struct{}
}

func (s *stream) view() view {
	s.mu.Lock()
	defer s.mu.Unlock()
	return view{tokens: s.tokens, done: s.done, exported: s.exported, changed: s.changed}
}
