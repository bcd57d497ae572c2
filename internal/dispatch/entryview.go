package dispatch

import (
	"mangoledge.example/mangoledge/internal/request"
)

// view is a consistent snapshot of an entry for its followers.
type view struct {
	record     request.Record
	released   bool
	redirected bool
	changed    <-chan struct{}
}

func (e *entry) view() view {
	e.mu.Lock()
	defer e.mu.Unlock()
	return view{record: e.recordLocked(), released: e.released, redirected: e.redirected, changed: e.changed}
}

// snapshot returns the current record; its tokens must not be modified.
func (e *entry) snapshot() request.Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.recordLocked()
}

// recordLocked returns the record with its tokens; the caller holds e.mu.
func (e *entry) recordLocked() request.Record {
	out := e.record
	if e.isPacked {
		out.Tokens = e.packed.Tokens()
	}
	return out
}

// pack compacts the tokens of a finished request to save memory.
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
