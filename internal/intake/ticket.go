package intake

import (
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/admission"
	"mangoledge.example/mangoledge/internal/routing"
	"mangoledge.example/mangoledge/internal/verdict"
)

// ticket is an accepted request; it is a dispatch.Ticket.
type ticket struct {
	intake   *Intake
	admitted *admission.Ticket
	pool     routing.Pool

	mu       sync.Mutex
	placed   bool
	released bool
	since    time.Time
}

// Turn is closed when the request may ask for a slot, or was shed.
func (t *ticket) Turn() <-chan struct{} {
	return t.admitted.Settled()
}

// Refusal returns why the request was shed, or nil; valid once Turn is closed.
func (t *ticket) Refusal() *verdict.Error {
	return t.admitted.Refusal()
}

// LatestStart is when the request has to have a slot to be likely to meet its deadline.
func (t *ticket) LatestStart() time.Time {
	return t.intake.controller.LatestStart(t.admitted)
}

// Overdue returns why a request without a slot is given up now, or nil.
func (t *ticket) Overdue() *verdict.Error {
	return t.intake.controller.Overdue(time.Now(), t.admitted)
}

// Placed says that the request has a slot and asks no more.
func (t *ticket) Placed() {
	t.mu.Lock()
	first := !t.placed && !t.released
	t.placed = true
	if first {
		t.since = time.Now()
	}
	t.mu.Unlock()
	if first {
		t.intake.controller.Placed(time.Now(), t.admitted)
		t.intake.stopAsking(t.pool)
	}
}

// Release ends the request's stay; done is true when it ran to its end.
func (t *ticket) Release(done bool) {
	t.mu.Lock()
	again := t.released
	t.released = true
	placed, since := t.placed, t.since
	t.mu.Unlock()
	if again {
		return
	}
	handedOut := t.handedOut()
	t.intake.controller.Release(time.Now(), t.admitted)
	if placed && done {
		t.intake.estimator.Observe(t.admitted.Request.Kind, time.Since(since))
	}
	if handedOut && !placed {
		t.intake.stopAsking(t.pool)
		return
	}
	t.intake.pump()
}

// handedOut reports whether the request had its turn.
func (t *ticket) handedOut() bool {
	select {
	case <-t.admitted.Settled():
		return t.admitted.Refusal() == nil
	default:
		return false
	}
}
