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
	// minLeftShare is the part of the target latency that must be left for a send to be of use.
	minLeftShare = 0.1
	// noUpstreamRetry is when to come back when a service has no upstream: new ones
	// take some seconds, those that come back less.
	noUpstreamRetry = 700 * time.Millisecond
	// busyRetry is when to come back when all upstreams are full.
	busyRetry = 250 * time.Millisecond
	// maxSends bounds the sends of one request, whatever its route allows.
	maxSends = 3
	// maxHold is the longest time that a request waits for an upstream that had no room
	// or could not be reached.
	maxHold = 150 * time.Millisecond
	// maxDials bounds the upstreams that took no connection, of one request.
	maxDials = 4
)

// step is what one send to an upstream came to.
type step uint8

const (
	// stepDone means that the client has its answer, or is gone.
	stepDone step = iota
	// stepHeldBack means that nothing was sent, as the request was not to be any more.
	stepHeldBack
	// stepUnreached means that nothing was sent.
	stepUnreached
	// stepRejected means that the upstream stated that it did not run the request.
	stepRejected
	// stepFailed means that the request may have run and there is no answer to pass on.
	stepFailed
	// stepRepeat means that the upstream answered with a failure and one more send was granted.
	stepRepeat
)

// run sends the request until the client has an answer.
func (e *exchange) run(ctx context.Context, w http.ResponseWriter) {
	client := &clientWriter{w: w}
	e.options.Budgets.Attempt(e.service.Name)
	for dials := 0; ; {
		ticket, refused := e.pick(ctx)
		if refused != nil {
			e.giveUp(client, refused)
			return
		}
		switch e.send(ctx, client, ticket) {
		case stepDone:
			return
		case stepRepeat, stepHeldBack:
		case stepUnreached:
			dials++
			if dials >= maxDials {
				e.giveUp(client, e.finalRefusal(refuseNoUpstream(busyRetry)))
				return
			}
		case stepRejected:
			if refused := e.refuseClosed(); refused != nil {
				e.giveUp(client, e.finalRefusal(refused))
				return
			}
			if !e.mayRepeat(ctx, repeatRejected) {
				e.giveUp(client, e.finalRefusal(refuseBusy(busyRetry)))
				return
			}
		case stepFailed:
			if !e.route.Repeatable() || !e.mayRepeat(ctx, repeatLost) {
				e.giveUp(client, e.finalRefusal(failedUpstream))
				return
			}
		}
	}
}

// finalRefusal returns what to answer: no promise is given for a request that may have run.
func (e *exchange) finalRefusal(wanted *refusal) *refusal {
	switch {
	case !e.mayHaveRun:
		return wanted
	case time.Now().After(e.deadline):
		return failedTime
	}
	return failedUpstream
}

// repeatCause is why a request is to be sent once more, as logs and metrics spell it.
type repeatCause string

const (
	repeatRejected repeatCause = "rejected"
	repeatLost     repeatCause = "answer_lost"
	repeatFailed   repeatCause = "upstream_failed"
	repeatSilent   repeatCause = "upstream_silent"
)

// mayRepeat reports whether the request may be sent to one more upstream.
func (e *exchange) mayRepeat(ctx context.Context, cause repeatCause) bool {
	if ctx.Err() != nil || e.sends >= min(e.route.MaxAttempts, maxSends) {
		return false
	}
	if e.granted.Swap(false) {
		return true
	}
	return e.takeRepeat(cause)
}

// takeRepeat takes one further send out of the service's budget.
func (e *exchange) takeRepeat(cause repeatCause) bool {
	grant := e.options.Budgets.Take(e.service.Name)
	e.options.Metrics.Repeat(e, cause, grant.Allowed)
	e.log("repeat decided", "allowed", grant.Allowed, "cause", cause, "service", e.service.Name,
		"left", grant.Left, "nodes", grant.Nodes)
	return grant.Allowed
}

// pick chooses an upstream, or says why there is none.
func (e *exchange) pick(ctx context.Context) (*balance.Ticket, *refusal) {
	ticket, refused := e.choose(ctx)
	if refused != nil {
		return nil, refused
	}
	e.options.Demand.Arrived(e.service.Name, ticket.Uncached, e.request.MaxOutputTokens)
	left := time.Until(e.deadline)
	if left < e.leastLeft() {
		ticket.End(balance.Abandoned)
		return nil, e.finalRefusal(refuseLate)
	}
	if expected := ticket.Expected(); expected > left {
		ticket.End(balance.Abandoned)
		return nil, e.finalRefusal(refuseBusy(min(expected-left+busyRetry, left)))
	}
	return ticket, nil
}

// choose takes a place at an upstream; it waits a little for one that has no room.
func (e *exchange) choose(ctx context.Context) (*balance.Ticket, *refusal) {
	held := time.Duration(0)
	for {
		if ctx.Err() != nil {
			return nil, e.timeRefusal(ctx)
		}
		if e.options.Poison.Convicted(e.content) {
			return nil, e.finalRefusal(refusePoison)
		}
		view := e.options.Upstreams.View()
		ticket, pause := e.options.Balancer.Pick(e.request, e.choice(view))
		if ticket != nil {
			return ticket, nil
		}
		if len(view.ByService[e.service.Name]) == 0 {
			return nil, e.finalRefusal(refuseNoUpstream(noUpstreamRetry))
		}
		if refused := e.refuseClosed(); refused != nil {
			return nil, e.finalRefusal(refused)
		}
		held += pause
		if pause == 0 || held > maxHold || held > time.Until(e.deadline)/4 {
			e.options.Demand.Arrived(e.service.Name, e.request.PromptTokens, e.request.MaxOutputTokens)
			return nil, e.finalRefusal(refuseBusy(busyRetry))
		}
		wait.For(ctx, pause)
	}
}

// refuseClosed returns what to answer when all upstreams of the service asked to be left
// alone for longer than a request is held, or nil. Callers come back spread over half as
// long again, so that the first to open is not met by all of them.
func (e *exchange) refuseClosed() *refusal {
	list := e.options.Upstreams.View().ByService[e.service.Name]
	opens, found := e.options.Balancer.OpensIn(list)
	switch {
	case len(list) == 0:
		return nil
	case !found:
		return refuseNoUpstream(noUpstreamRetry)
	case opens <= maxHold:
		return nil
	}
	return refuseQuiet(opens + time.Duration(e.options.Random()*float64(opens)/2))
}

func (e *exchange) choice(view *catalog.View) *balance.Choice {
	return &balance.Choice{Service: e.service, Candidates: view.ByService[e.service.Name], Tried: e.tried}
}

// leastLeft is the shortest time in which an upstream can be of use.
func (e *exchange) leastLeft() time.Duration {
	return time.Duration(minLeftShare * float64(e.route.TargetLatency))
}

// timeRefusal is the answer once ctx is over.
func (e *exchange) timeRefusal(ctx context.Context) *refusal {
	if errors.Is(context.Cause(ctx), errTimeOver) && !e.mayHaveRun {
		return refuseLate
	}
	return e.finalRefusal(failedTime)
}

// giveUp answers with a refusal, or breaks off an answer that has begun.
func (e *exchange) giveUp(client *clientWriter, refused *refusal) {
	if client.begun {
		e.options.Metrics.Broken(e)
		e.log("answer broken off", "reason", refused.reason, "last_event", e.lastEvent, "sends", e.sends)
		panic(http.ErrAbortHandler)
	}
	e.refuse(client.w, refused)
}
