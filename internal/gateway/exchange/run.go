package exchange

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/gateway/balance"
	"mangoledge.example/mangoledge/internal/gateway/catalog"
	"mangoledge.example/mangoledge/internal/wait"
)

const (
	// minRemainingShare is the share of the target latency that must remain for a send to be
	// useful.
	minRemainingShare = 0.1
	// noUpstreamRetryAfter is the Retry-After time when a service has no upstream: new replicas
	// take some seconds to start, replicas that come back take less.
	noUpstreamRetryAfter = 700 * time.Millisecond
	// busyRetryAfter is the time after which there may be room when all upstreams are full.
	busyRetryAfter = 250 * time.Millisecond
	// maxSends limits the sends of one request, whatever its route allows.
	maxSends = 3
	// maxUpstreamWait is the longest time that a request waits for an upstream that is full or
	// could not be reached.
	maxUpstreamWait = 150 * time.Millisecond
	// maxFailedDials limits the failed connection attempts of one request.
	maxFailedDials = 4
)

// sendResult is the result of one send to an upstream.
type sendResult uint8

const (
	// resultDone means that the client has its response or has disconnected.
	resultDone sendResult = iota
	// resultNotSent means that a check just before the send failed, and nothing was sent.
	resultNotSent
	// resultUnreachable means that no connection could be made, and nothing was sent.
	resultUnreachable
	// resultRejected means that the upstream stated that it did not run the request.
	resultRejected
	// resultLost means that the request may have run and there is no response to forward.
	resultLost
	// resultRetry means that the upstream responded with a failure and a retry was granted.
	resultRetry
)

// run sends the request to upstreams until the client has a response.
func (e *exchange) run(ctx context.Context, client *clientWriter) {
	e.options.Budgets.Attempt(e.service.Name)
	for failedDials := 0; ; {
		ticket, refused := e.pickUpstream(ctx)
		if refused != nil {
			e.refuseOrAbort(client, refused)
			return
		}
		switch e.send(ctx, client, ticket) {
		case resultDone:
			return
		case resultRetry, resultNotSent:
		case resultUnreachable:
			failedDials++
			if failedDials >= maxFailedDials {
				e.refuseOrAbort(client, e.finalRefusal(noUpstreamRefusal(busyRetryAfter)))
				return
			}
		case resultRejected:
			if refused := e.allUnavailableRefusal(); refused != nil {
				e.refuseOrAbort(client, e.finalRefusal(refused))
				return
			}
			if !e.mayRetry(ctx, retryRejected) {
				e.refuseOrAbort(client, e.finalRefusal(e.busyRefusal(busyRetryAfter)))
				return
			}
		case resultLost:
			if !e.route.Repeatable() || !e.mayRetry(ctx, retryLost) {
				e.refuseOrAbort(client, e.finalRefusal(upstreamFailedRefusal))
				return
			}
			if client.headerWritten {
				e.options.Metrics.ResponseResumed(e)
			}
		}
	}
}

// finalRefusal returns wanted, unless the request may have run: a refusal that promises "not
// run" must not be given then.
func (e *exchange) finalRefusal(wanted *refusal) *refusal {
	switch {
	case !e.mayHaveRun:
		return wanted
	case time.Now().After(e.deadline):
		return timeoutRefusal
	}
	return upstreamFailedRefusal
}

// retryCause is why a request is to be sent again, as written in logs and metrics.
type retryCause string

const (
	retryRejected retryCause = "rejected"
	retryLost     retryCause = "answer_lost"
	retryFailed   retryCause = "upstream_failed"
	retrySilent   retryCause = "upstream_silent"
)

// mayRetry reports whether the request may be sent to one more upstream. It uses up a retry
// that was granted before, or takes one from the budget.
func (e *exchange) mayRetry(ctx context.Context, cause retryCause) bool {
	if ctx.Err() != nil || e.sends >= min(e.route.MaxAttempts, maxSends) {
		return false
	}
	if e.retryGranted.Swap(false) {
		return true
	}
	return e.takeRetry(cause)
}

// takeRetry asks the service's budget for one retry.
func (e *exchange) takeRetry(cause retryCause) bool {
	grant := e.options.Budgets.Take(e.service.Name)
	e.options.Metrics.RetryRequested(e, cause, grant.Allowed)
	e.log("repeat decided", "allowed", grant.Allowed, "cause", cause, "service", e.service.Name,
		"left", grant.Remaining, "nodes", grant.Nodes)
	return grant.Allowed
}

// pickUpstream reserves a slot at an upstream and checks that the remaining time suffices. If
// not, or if there is no slot, it returns a refusal.
func (e *exchange) pickUpstream(ctx context.Context) (*balance.Ticket, *refusal) {
	ticket, refused := e.reserveSlot(ctx)
	if refused != nil {
		return nil, refused
	}
	e.options.Demand.Arrived(e.service.Name, ticket.UncachedTokens, e.request.MaxOutputTokens)
	left := time.Until(e.deadline)
	if left < e.minUsefulTime() {
		ticket.End(balance.Abandoned)
		return nil, e.finalRefusal(tooLateRefusal)
	}
	if expected := ticket.ExpectedLatency(); expected > left {
		ticket.End(balance.Abandoned)
		return nil, e.finalRefusal(e.busyRefusal(expected - left))
	}
	e.recordVersion(ticket)
	return ticket, nil
}

// reserveSlot reserves a slot at an upstream. While none is available it waits, for at most
// maxUpstreamWait or a quarter of the time left, whichever is shorter.
func (e *exchange) reserveSlot(ctx context.Context) (*balance.Ticket, *refusal) {
	waited := time.Duration(0)
	for {
		if ctx.Err() != nil {
			return nil, e.deadlineRefusal(ctx)
		}
		if e.isQuarantined() {
			return nil, e.finalRefusal(poisonRefusal)
		}
		view := e.options.Upstreams.View()
		ticket, pause := e.options.Balancer.Pick(e.request, e.pickOptions(view))
		if ticket != nil {
			e.ticket = ticket
			return ticket, nil
		}
		if e.versions.FallBack() {
			continue
		}
		if len(view.ByService[e.service.Name]) == 0 {
			return nil, e.finalRefusal(noUpstreamRefusal(noUpstreamRetryAfter))
		}
		if refused := e.allUnavailableRefusal(); refused != nil {
			return nil, e.finalRefusal(refused)
		}
		waited += pause
		if pause == 0 || waited > maxUpstreamWait || waited > time.Until(e.deadline)/4 {
			e.options.Demand.Arrived(e.service.Name, e.request.PromptTokens, e.request.MaxOutputTokens)
			return nil, e.finalRefusal(e.busyRefusal(busyRetryAfter))
		}
		wait.For(ctx, pause)
	}
}

// allUnavailableRefusal returns a refusal if every upstream of the service has asked not to be used
// for longer than a request may wait, else nil. The Retry-After times of clients are spread
// over an extra half of that period, so that they do not all hit the first upstream that
// reopens.
func (e *exchange) allUnavailableRefusal() *refusal {
	list := e.options.Upstreams.View().ByService[e.service.Name]
	reopensIn, found := e.options.Balancer.NextOpen(list)
	switch {
	case len(list) == 0:
		return nil
	case !found:
		return noUpstreamRefusal(noUpstreamRetryAfter)
	case reopensIn <= maxUpstreamWait:
		return nil
	}
	return upstreamsUnavailableRefusal(reopensIn + time.Duration(e.options.Random()*float64(reopensIn)/2))
}

// pickOptions returns the upstreams of the request's service, with those already tried marked.
func (e *exchange) pickOptions(view *catalog.View) *balance.PickOptions {
	return &balance.PickOptions{Service: e.service, Candidates: e.candidates(view.ByService[e.service.Name]), Tried: e.triedUpstreams}
}

// minUsefulTime is the shortest remaining time in which a send is useful.
func (e *exchange) minUsefulTime() time.Duration {
	return time.Duration(minRemainingShare * float64(e.route.TargetLatency))
}

// deadlineRefusal returns the refusal for a request whose context has ended.
func (e *exchange) deadlineRefusal(ctx context.Context) *refusal {
	if errors.Is(context.Cause(ctx), errDeadlineExceeded) && !e.mayHaveRun {
		return tooLateRefusal
	}
	return e.finalRefusal(timeoutRefusal)
}

// refuseOrAbort responds with a refusal, or aborts the response if its headers were already sent.
func (e *exchange) refuseOrAbort(client *clientWriter, refused *refusal) {
	if client.headerWritten {
		e.options.Metrics.ResponseAborted(e)
		e.log("answer broken off", "reason", refused.reason, "last_event", e.lastEventID, "sends", e.sends)
		panic(http.ErrAbortHandler)
	}
	e.refuse(client.w, refused)
}
