package dispatch

import (
	"time"

	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/verdict"
)

// isReleased reports whether this node gave up the request for another node.
func (e *entry) isReleased() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.released
}

// inProgress reports whether this node still has to finish the request.
func (e *entry) inProgress() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.record.Phase.Final() && !e.released
}

// finish sets the final phase; it reports false when the request has already ended
// or was released.
func (e *entry) finish(phase request.Phase, failure *verdict.Error) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.record.Phase.Final() || e.released {
		return false
	}
	e.record.Phase = phase
	e.record.Failure = failure
	e.finished = time.Now()
	e.notifyFollowers()
	return true
}

// release gives up the request for another node. It reports false when the request
// has ended, was released before, or is non-idempotent and was dispatched or granted.
// Followers are not redirected yet.
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

// redirectFollowers tells the followers of a released request to reconnect elsewhere.
func (e *entry) redirectFollowers() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.redirected = true
	e.notifyFollowers()
}
