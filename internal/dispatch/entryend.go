package dispatch

import (
	"time"

	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/verdict"
)

// isReleased reports whether the request was given up for another node.
func (e *entry) isReleased() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.released
}

// inProgress reports whether the request is still to end here.
func (e *entry) inProgress() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.record.Phase.Final() && !e.released
}

// finish sets the final phase; it reports false when there was one already.
func (e *entry) finish(phase request.Phase, failure *verdict.Error) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.record.Phase.Final() || e.released {
		return false
	}
	e.record.Phase = phase
	e.record.Failure = failure
	e.finished = time.Now()
	e.wake()
	return true
}

// release gives the request up for another node; it reports false when there is
// nothing to give up. Followers are not told yet.
func (e *entry) release() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.record.Phase.Final() || e.released {
		return false
	}
	if !e.spec.Idempotent && (e.dispatched || e.granted) {
		return false
	}
	e.released = true
	return true
}

// sendAway ends the following of a released request.
func (e *entry) sendAway() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.moved = true
	e.wake()
}
