package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/verdict"
)

// lateTicket is overdue from the start.
type lateTicket struct{ Ticket }

func (lateTicket) Overdue() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeDeadlineUnlikely, "too late").WithRetryAfter(time.Second)
}

// A request that another holder has sent to an upstream is not given up for
// being late, and nobody says that it was not run.
func TestRequestThatBeganElsewhereIsNotRefusedAsNotRun(t *testing.T) {
	d := new(Dispatcher)
	spec := request.Spec{Idempotent: true}
	for _, upstream := range []ident.Upstream{"u1", ""} {
		for _, tokens := range [][]string{{"a"}, nil} {
			e := newEntry(request.Record{Spec: spec, Upstream: upstream, Tokens: tokens}, lateTicket{})
			began := upstream != "" || tokens != nil
			require.Equal(t, began, overdueOf(e) == nil)
			failure := d.settleNotRun(e, lateTicket{}.Overdue())
			require.Equal(t, !began, failure.Verdict == verdict.NotRun)
		}
	}
}
