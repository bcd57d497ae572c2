package callerclient

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/api/callerapi"
	"mangoledge.example/mangoledge/internal/wait"
)

// nextAction returns what to do after an attempt that did not complete the request.
// A request without a Kind cannot be resubmitted: it is retried if the refusal
// names a delay and given up otherwise.
func (k *call) nextAction(attempt attemptResult) action {
	if attempt.refusal == nil {
		return actionResend
	}
	next := actionAfterRefusal(attempt.refusal, k.resuming || len(k.result.Tokens) > 0)
	if next != actionResubmit || k.request.Kind != "" {
		return next
	}
	if retryAfter(attempt.refusal) > 0 {
		return actionResend
	}
	return actionGiveUp
}

// prepareRetry updates the call for the next attempt and waits for the backoff. It
// reports false if the deadline passes or ctx ends first.
func (k *call) prepareRetry(ctx context.Context, next action, attempt attemptResult) bool {
	switch next {
	case actionNewID:
		k.switchToNewID(attempt.refusal)
	case actionResubmit:
		k.resuming = false
	case actionRestart:
		k.restart()
	case actionResend, actionGiveUp:
	}
	k.observer.Retry(k.lastAddress, attempt.err)
	pause := backoff(k.result.Attempts)
	if attempt.refusal != nil {
		pause = max(pause, retryAfter(attempt.refusal))
	}
	if errors.Is(attempt.err, errMoved) {
		pause = 0
	}
	if time.Until(k.deadline) < pause {
		return false
	}
	wait.For(ctx, pause)
	return ctx.Err() == nil
}

// switchToNewID gives the request a new ID: one with the prefix in refusal, or else
// one chosen at the next attempt. It must be called only after the verdict not_run.
func (k *call) switchToNewID(refusal *callerapi.Refusal) {
	k.resuming = false
	k.maybeSent = false
	k.result.ID = ""
	if prefix, ok := refusal.RequestIdPrefix.Get(); ok && prefix != "" {
		k.result.ID = idWithPrefix(prefix)
		return
	}
	k.client.expireAddresses()
}

// restart drops the tokens received, so that the next attempt reads the stream of
// another generation from its start.
func (k *call) restart() {
	k.resuming = true
	k.result.Tokens = nil
	k.result.Generation = ""
	k.result.Restarts++
	k.observer.Restart()
}
