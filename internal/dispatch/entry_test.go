package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/verdict"
)

// lateTicket is always overdue.
type lateTicket struct{ Ticket }

func (lateTicket) OverdueRefusal() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeDeadlineUnlikely, "too late").WithRetryAfter(time.Second)
}

// A request that another holder may have sent to an upstream is not given up for being
// overdue, and its failure is not reported as "not run".
func TestRequestDispatchedElsewhereIsNotReportedNotRun(t *testing.T) {
	d := new(Dispatcher)
	spec := request.Spec{Idempotent: true}
	for _, upstream := range []ident.Upstream{"u1", ""} {
		for _, tokens := range [][]string{{"a"}, nil} {
			e := newEntry(request.Record{Spec: spec, Upstream: upstream, Tokens: tokens}, lateTicket{})
			began := upstream != "" || tokens != nil
			require.Equal(t, began, overdueFailure(e) == nil)
			failure := d.confirmNotRun(e, lateTicket{}.OverdueRefusal())
			require.Equal(t, !began, failure.Verdict == verdict.NotRun)
		}
	}
}
