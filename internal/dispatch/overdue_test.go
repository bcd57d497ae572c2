package dispatch_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/verdict"
)

// overdueAdmission accepts requests as already past their latest start.
type overdueAdmission struct{}

type overdueTicket struct{ immediateTicket }

func (overdueTicket) LatestStart() time.Time { return time.Now().Add(-time.Second) }

func (overdueTicket) OverdueRefusal() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeDeadlineUnlikely, "too late").WithRetryAfter(time.Second)
}

func (overdueAdmission) Admit(*request.Spec) (dispatch.Ticket, error) { return overdueTicket{}, nil }

// A request without an upstream fails at its latest start, with a RetryAfter, instead of
// at its deadline.
func TestOverdueRequestIsRefusedBeforeItsDeadline(t *testing.T) {
	site := newFakeSite(t)
	site.admission = overdueAdmission{}
	home, wit := site.addNode("home"), site.addNode("wit")
	asked := spec(home, wit, 10)
	a, err := home.dispatcher.Submit(t.Context(), dispatch.Submission{Spec: asked})
	require.NoError(t, err)
	var got received
	got.follow(t, a, 0)
	require.NotNil(t, got.last.Failure)
	require.Equal(t, verdict.CodeDeadlineUnlikely, got.last.Failure.Code)
	require.Equal(t, verdict.NotRun, got.last.Failure.Verdict)
	require.Positive(t, got.last.Failure.RetryAfter)
}
