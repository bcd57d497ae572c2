package intake

import (
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/admission"
	"mangoledge.example/mangoledge/internal/routing"
	"mangoledge.example/mangoledge/internal/verdict"
)

// ticket is an accepted request; it implements dispatch.Ticket.
type ticket struct {
	intake   *Intake
	admitted *admission.Ticket
	pool     routing.Pool

	mu       sync.Mutex
	placed   bool
	released bool
	placedAt time.Time
}

// Turn is closed when the request may search for a slot or was shed.
func (t *ticket) Turn() <-chan struct{} {
	return t.admitted.Settled()
}

// Refusal returns why the request was shed, or nil. It is valid once Turn is closed.
func (t *ticket) Refusal() *verdict.Error {
	return t.admitted.Refusal()
}

// LatestStart returns the latest time at which the request has to get a slot to be likely
// to meet its deadline.
func (t *ticket) LatestStart() time.Time {
	return t.intake.controller.LatestStart(t.admitted)
}

// OverdueRefusal returns why a request that has no slot yet is given up now, or nil.
func (t *ticket) OverdueRefusal() *verdict.Error {
	return t.intake.controller.OverdueRefusal(time.Now(), t.admitted)
}

// Placed records that the request has a slot, and returns its turn.
func (t *ticket) Placed() {
	t.mu.Lock()
	first := !t.placed && !t.released
	t.placed = true
	if first {
		t.placedAt = time.Now()
	}
	t.mu.Unlock()
	if first {
		t.intake.controller.Placed(time.Now(), t.admitted)
		t.intake.returnTurn(t.pool)
	}
}

// Release ends the request; done is true if it ran to completion.
func (t *ticket) Release(done bool) {
	t.mu.Lock()
	again := t.released
	t.released = true
	placed, since := t.placed, t.placedAt
	t.mu.Unlock()
	if again {
		return
	}
	hadTurn := t.hadTurn()
	t.intake.controller.Release(time.Now(), t.admitted)
	if placed && done {
		t.intake.estimator.Observe(t.admitted.Request.Kind, time.Since(since))
	}
	if hadTurn && !placed {
		t.intake.returnTurn(t.pool)
		return
	}
	t.intake.grantTurns()
}

// hadTurn reports whether the request was given a turn.
func (t *ticket) hadTurn() bool {
	select {
	case <-t.admitted.Settled():
		return t.admitted.Refusal() == nil
	default:
		return false
	}
}
