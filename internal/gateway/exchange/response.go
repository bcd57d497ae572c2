package exchange

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/gateway/balance"
	"mangoledge.example/mangoledge/internal/gateway/httpconn"
	"mangoledge.example/mangoledge/internal/gateway/site"
)

// handleResponse handles a response whose header has arrived.
func (a *attempt) handleResponse(ctx context.Context, response *httpconn.Response) sendResult {
	a.framing = response.Framing
	meta := a.options.Wire.DecodeResponse(response.Status, response.Header)
	if !a.isOwnResponse(response, meta) {
		response.Abort()
		return a.handleLost(ctx, errors.Newf("the response belongs to request %q", meta.AttemptID))
	}
	a.applyAvailability(response, meta)
	switch {
	case meta.NotRun && a.options.Wire.MeansNotRun(response.Status):
		return a.handleRejected(ctx, response, meta)
	case response.Status/100 == 2 && !meta.Signed:
		response.Abort()
		return a.handleLost(ctx, errors.New("successful response without a signature"))
	case a.client.headerWritten && response.Status != http.StatusOK:
		return a.handleErrorInStream(ctx, response)
	case response.Status/100 == 2 && a.route.Kind == site.RouteStreaming:
		a.mayHaveRun = true
		return a.forwardStream(ctx, response)
	}
	a.mayHaveRun = true
	return a.handlePlain(ctx, response)
}

// isOwnResponse reports whether a response belongs to this attempt. Without an ID, a success never
// does, and a rejection only if the connection carried no other request that it may belong to.
func (a *attempt) isOwnResponse(response *httpconn.Response, meta ResponseMeta) bool {
	switch {
	case meta.AttemptID == a.request.AttemptID:
		return true
	case meta.AttemptID != "" || response.Status/100 == 2:
		return false
	}
	return !meta.NotRun || response.OnNewConnection()
}

// applyAvailability applies what the upstream's response says about its availability: that it
// is leaving, or asks for no requests for a time.
func (a *attempt) applyAvailability(response *httpconn.Response, meta ResponseMeta) {
	u := a.ticket.Upstream
	if meta.InvalidRetryAfter != "" {
		a.log("time of quiet is unclear", "upstream", u.ID, "said", meta.InvalidRetryAfter, "taken_as", meta.RetryAfter)
	}
	if meta.Leaving {
		response.CloseAfter()
		if a.options.Balancer.MarkLeaving(u) {
			a.options.Pool.CloseIdle(u.Address.String())
			a.recordUnavailable(balance.Leaving, 0, response.Status)
		}
	}
	if meta.RetryAfter > 0 && a.options.Balancer.MarkQuiet(u, meta.RetryAfter) {
		a.recordUnavailable(balance.Quiet, meta.RetryAfter, response.Status)
	}
}

// recordUnavailable records in metrics and log that this node stops using the upstream, for good or
// for a time.
func (a *attempt) recordUnavailable(availability balance.Availability, d time.Duration, status int) {
	a.options.Metrics.UpstreamClosed(a.exchange, availability)
	a.log("upstream taken out", "upstream", a.ticket.Upstream.ID, "born", a.ticket.Upstream.StartedAt, "why", availability.String(), "for", d, "status", status)
}

// handleRejected ends an attempt that the upstream states it did not run.
func (a *attempt) handleRejected(ctx context.Context, response *httpconn.Response, meta ResponseMeta) sendResult {
	response.Discard()
	outcome := balance.Rejected
	if meta.WrongUpstream {
		outcome = balance.Unreachable
	}
	a.ticket.End(outcome)
	a.log("upstream rejected", "upstream", a.ticket.Upstream.ID, "status", response.Status, "wrong_upstream", meta.WrongUpstream)
	return a.resultUnlessEnded(ctx, resultRejected)
}

// handleErrorInStream ends an attempt to continue a stream that was answered with an error, which
// must not reach the client as a part of the stream.
func (a *attempt) handleErrorInStream(ctx context.Context, response *httpconn.Response) sendResult {
	response.Discard()
	a.ticket.End(a.outcomeUnlessEnded(ctx, balance.Failed))
	a.log("upstream failed", "upstream", a.ticket.Upstream.ID, "status", response.Status, "last_event", a.lastEventID)
	if !a.route.Repeatable() || !a.mayRetry(ctx, retryFailed) {
		a.refuseOrAbort(a.client, upstreamFailedRefusal)
	}
	return resultRetry
}
