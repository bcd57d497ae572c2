package dispatch

import (
	"mangoledge.example/mangoledge/internal/request"
)

// view is what a follower sees at one moment.
type view struct {
	record   request.Record
	released bool
	moved    bool
	changed  <-chan struct{}
}

func (e *entry) view() view {
	e.mu.Lock()
	defer e.mu.Unlock()
	return view{record: e.current(), released: e.released, moved: e.moved, changed: e.changed}
}

// snapshot returns the record as it is now; its tokens must not be changed.
func (e *entry) snapshot() request.Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current()
}

// current returns the record with its tokens; e.mu is held.
func (e *entry) current() request.Record {
	out := e.record
	if e.isPacked {
		out.Tokens = e.packed.Tokens()
	}
	return out
}

// pack puts the tokens of a request that has ended into little memory.
func (e *entry) pack() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isPacked || !e.record.Phase.Final() {
		return
	}
	e.packed = request.PackTokens(e.record.Tokens)
	e.record.Tokens = nil
	e.isPacked = true
}
