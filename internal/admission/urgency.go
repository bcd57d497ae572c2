package admission

import (
	"time"

	"mangoledge.example/mangoledge/internal/request"
)

// TypicalPace is the time between two tokens that a request is expected to have.
const TypicalPace = 30 * time.Millisecond

// Urgency returns the priority to give a request at an upstream's own queue,
// from the time that is left beyond the time it needs: one step less for each
// second. Requests that were let through in their fair order would otherwise
// starve there behind more urgent kinds.
func Urgency(now, deadline time.Time, needs time.Duration) request.Priority {
	slack := deadline.Sub(now) - needs
	steps := int(slack / time.Second)
	return request.Priority(max(0, min(int(request.MaxPriority), int(request.MaxPriority)-steps)))
}
