package dispatch

import (
	"context"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/retry"
	"mangoledge.example/mangoledge/internal/verdict"
	"mangoledge.example/mangoledge/internal/wait"
)

// mayRetry reports whether the request may be sent to an upstream once more.
func mayRetry(e *entry, failure *verdict.Error) bool {
	if failure.Code == verdict.CodeBadInput {
		return false
	}
	return e.spec.Idempotent || failure.Verdict == verdict.NotRun
}

// maxIdleMoves is how many moves in a row may bring no token and still be no retries. Two
// holders of one stream that cannot reach each other replace each other's at the engine;
// the pauses of retries let one of them get on.
const maxIdleMoves = 2

// beforeRetry waits until the retry policy lets the request be sent again. A
// request that moves because its upstream leaves is no retry.
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
		wait.For(ctx, budgetPause)
	}
}

// remember appends upstream and keeps the last few.
func remember(avoid []ident.Upstream, upstream ident.Upstream) []ident.Upstream {
	avoid = append(avoid, upstream)
	if len(avoid) > rememberedFailures {
		avoid = avoid[1:]
	}
	return avoid
}
