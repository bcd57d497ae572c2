package dispatch

import (
	"mangoledge.example/mangoledge/internal/request"
)

// Admission decides which requests are accepted.
type Admission interface {
	// Admit accepts a request, or refuses it with an error of verdict NotRun.
	Admit(spec *request.Spec) (Ticket, error)
}
