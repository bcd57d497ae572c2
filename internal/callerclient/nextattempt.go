package callerclient

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/api/callerapi"
	"mangoledge.example/mangoledge/internal/wait"
)

func (k *call) decide(end attemptEnd) action {
	if end.refusal == nil {
		return actionResend
	}
	next := afterRefusal(end.refusal, k.resuming || len(k.result.Tokens) > 0)
	if next != actionResubmit || k.sub.Kind != "" {
		return next
	}
	if retryAfter(end.refusal) > 0 {
		return actionResend
	}
	return actionGiveUp
}

// prepare readies the next attempt and waits for its time; it reports false when the deadline comes first.
func (k *call) prepare(ctx context.Context, next action, end attemptEnd) bool {
	switch next {
	case actionFreshID:
		k.takeFreshID(end.refusal)
	case actionResubmit:
		k.resuming = false
	case actionRestart:
		k.restart()
	case actionResend, actionGiveUp:
	}
	k.observer.Retry(k.lastAddress, end.err)
	pause := backoff(k.result.Attempts)
	if end.refusal != nil {
		pause = max(pause, retryAfter(end.refusal))
	}
	if errors.Is(end.err, errMoved) {
		pause = 0
	}
	if time.Until(k.deadline) < pause {
		return false
	}
	wait.For(ctx, pause)
	return ctx.Err() == nil
}

// takeFreshID is called only after the verdict not_run.
func (k *call) takeFreshID(refusal *callerapi.Refusal) {
	k.resuming = false
	k.mayHaveLeft = false
	k.result.ID = ""
	if prefix, ok := refusal.RequestIdPrefix.Get(); ok && prefix != "" {
		k.result.ID = idWithPrefix(prefix)
		return
	}
	k.client.forget()
}

// restart drops the tokens received; a stream of another generation begins at its start.
func (k *call) restart() {
	k.resuming = true
	k.result.Tokens = nil
	k.result.Generation = ""
	k.result.Restarts++
	k.observer.Restart()
}
