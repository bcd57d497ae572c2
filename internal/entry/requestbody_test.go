package entry

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/api/callerapi"
	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/ingress"
	"mangoledge.example/mangoledge/internal/settings"
)

// retainingDispatcher keeps the memory of each request, like an entry does until it has run.
type retainingDispatcher struct {
	scriptedDispatcher
	memory dispatch.Memory
}

func (r *retainingDispatcher) Submit(ctx context.Context, sub dispatch.Submission) (dispatch.Attachment, error) {
	r.memory = sub.Memory
	r.memory.Retain()
	return r.scriptedDispatcher.Submit(ctx, sub)
}

func TestMemoryOfAnAcceptedRequestStaysChargedUntilItHasRun(t *testing.T) {
	account := ingress.NewAccount(4<<20, time.Now)
	dispatcher := new(retainingDispatcher)
	dispatcher.follow = func(_ context.Context, emit dispatch.Emit) error {
		return emit(dispatch.Event{Kind: dispatch.EventDone, ID: "id", Generation: ident.Generation("g")})
	}
	base := serveWithAccount(t, dispatcher, account, func(l *settings.Limits) { l.MaxBodyBytes = 1 << 20 })
	body := strings.Replace(streamBody, "hi", strings.Repeat("x", 100_000), 1)
	withResponse(t, base, "caller-token", body, func(resp *http.Response) { require.Equal(t, http.StatusOK, resp.StatusCode) })
	require.GreaterOrEqual(t, account.Usage().Held, int64(len(body)))
	dispatcher.memory.Release()
	require.Eventually(t, func() bool { return account.Usage().Held == 0 }, 10*time.Second, time.Millisecond)
}

func TestBodyWithoutMemoryIsRefusedWithATimeToComeBack(t *testing.T) {
	account := ingress.NewAccount(1<<10, time.Now)
	base := serveWithAccount(t, &scriptedDispatcher{}, account, func(l *settings.Limits) { l.MaxBodyBytes = 1 << 20 })
	body := strings.Replace(streamBody, "hi", strings.Repeat("x", 100_000), 1)
	out := sendRefused(t, base, "caller-token", body)
	require.Equal(t, http.StatusTooManyRequests, out.status)
	require.Equal(t, callerapi.RefusalVerdictMayHaveRun, out.refusal.Verdict)
	require.Positive(t, out.refusal.RetryAfterMs.Or(0))
	require.Zero(t, account.Usage().Held)
}

func TestBodyOfAnUnknownCallerIsNotReceived(t *testing.T) {
	account := ingress.NewAccount(1<<20, time.Now)
	base := serveWithAccount(t, &scriptedDispatcher{}, account, nil)
	out := sendRefused(t, base, "another-token", streamBody)
	require.Equal(t, http.StatusUnauthorized, out.status)
	require.Zero(t, account.Usage().Peak)
}
