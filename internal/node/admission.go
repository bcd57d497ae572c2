package node

import (
	"time"

	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/verdict"
)

// fullRetryAfter is when to come back to a node that was full.
const fullRetryAfter = 200 * time.Millisecond

// admission bounds the requests in progress on this node.
type admission struct {
	slots chan struct{}
}

func newAdmission(limit int) *admission {
	return &admission{slots: make(chan struct{}, limit)}
}

// Admit accepts a request while there is room.
func (a *admission) Admit(*request.Spec) (dispatch.Ticket, error) {
	select {
	case a.slots <- struct{}{}:
		return ticket{slots: a.slots}, nil
	default:
		return nil, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "this node has no room for more requests").After(fullRetryAfter)
	}
}

type ticket struct {
	slots chan struct{}
}

// Release gives the room back.
func (t ticket) Release() {
	<-t.slots
}
