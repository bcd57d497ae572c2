package dispatch

import (
	"context"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/retry"
	"mangoledge.example/mangoledge/internal/verdict"
	"mangoledge.example/mangoledge/internal/wait"
)

// mayRetry reports whether the request may be sent to an upstream again.
func mayRetry(e *entry, failure *verdict.Error) bool {
	if failure.Code == verdict.CodeBadInput {
		return false
	}
	return e.spec.Idempotent || failure.Verdict == verdict.NotRun
}

// maxIdleMoves is how many consecutive moves without a new token skip the retry delay.
// Two holders of one request that can't reach each other replace each other's stream at
// the engine; with retry delays one of them makes progress.
const maxIdleMoves = 2

// beforeRetry waits until the retry policy allows another attempt. A move to another
// upstream does not count as a retry, up to maxIdleMoves moves without a new token. The
// policy is never given its maximum number of attempts, so that only the deadline and
// the retry budget limit the attempts.
func (d *Dispatcher) beforeRetry(ctx context.Context, e *entry, attempt, idleMoves int, failure *verdict.Error) {
	if failure.Code == codeMoving && idleMoves <= maxIdleMoves {
		return
	}
	for ctx.Err() == nil {
		delay, ok := d.options.Retries.Next(min(attempt, retry.DefaultMaxAttempts-1), failure.Verdict, e.spec.Idempotent, time.Now(), e.spec.Deadline)
		if ok {
			wait.For(ctx, delay)
			return
		}
		wait.For(ctx, retryBudgetInterval)
	}
}

// appendAvoided appends upstream and keeps the last maxAvoided.
func appendAvoided(avoid []ident.Upstream, upstream ident.Upstream) []ident.Upstream {
	avoid = append(avoid, upstream)
	if len(avoid) > maxAvoided {
		avoid = avoid[1:]
	}
	return avoid
}
