package engine

import (
	"context"
	"sync"

	"mangoledge.example/mangoledge/internal/engine"
)

// stream is one completion, running or finished recently.
type stream struct {
	completion engine.Completion
	cancel     context.CancelFunc

	mu       sync.Mutex
	tokens   []string
	done     bool
	exported bool
	changed  chan struct{}
}

// newStream returns a stream that begins with the prefix of completion.
func newStream(completion engine.Completion, cancel context.CancelFunc) *stream {
	tokens := append([]string(nil), completion.Prefix...)
	return &stream{completion: completion, cancel: cancel, tokens: tokens, changed: make(chan struct{})}
}

// nextPosition returns the text that the next token follows, and that token's index.
func (s *stream) nextPosition() (string, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.tokens) == 0 {
		return s.completion.Prompt, 0
	}
	return s.tokens[len(s.tokens)-1], len(s.tokens)
}

// appendToken adds a token and notifies the readers.
func (s *stream) appendToken(token string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens = append(s.tokens, token)
	s.notifyReaders()
}

// finish marks the stream as ended; only the first call has an effect. exported is sent
// in the last event and is true for a stream that ended before it was complete.
func (s *stream) finish(exported bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done {
		return
	}
	s.done = true
	s.exported = exported
	s.notifyReaders()
}

// notifyReaders wakes all readers; s.mu must be held.
func (s *stream) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// streamState is a snapshot of a stream.
type streamState struct {
	tokens   []string
	done     bool
	exported bool
	// changed is closed when the stream changes.
	changed <-chan struct{}
}

// state returns the current state of the stream.
func (s *stream) state() streamState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return streamState{tokens: s.tokens, done: s.done, exported: s.exported, changed: s.changed}
}
