package exchange

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/gateway/balance"
	"mangoledge.example/mangoledge/internal/gateway/httpconn"
)

// handlePlain handles a non-streaming response: it buffers the first bytes and forwards the
// response.
func (a *attempt) handlePlain(ctx context.Context, response *httpconn.Response) sendResult {
	body := &responseBody{reader: response.Body, length: response.ContentLength}
	if err := body.readBuffered(); err != nil {
		response.Abort()
		return a.handleLost(ctx, err)
	}
	if body.complete {
		response.Finish()
	}
	a.countUsage(a.sentAt)
	if response.Status >= http.StatusInternalServerError || a.options.Wire.MeansNotRun(response.Status) {
		return a.handleUpstreamFailure(ctx, response, body)
	}
	a.ticket.RecordFirstEvent() // the time of a failure is no measure of the upstream's speed
	return a.forwardResponse(ctx, response, body, balance.Answered)
}

// handleUpstreamFailure handles a failure status that the upstream returned after it ran the
// request. It retries if that is allowed. A status that means "not run" is not forwarded, since
// the request did run.
func (a *attempt) handleUpstreamFailure(ctx context.Context, response *httpconn.Response, body *responseBody) sendResult {
	a.log("upstream failed", "upstream", a.ticket.Upstream.ID, "status", response.Status)
	outcome := a.outcomeUnlessEnded(ctx, balance.Failed)
	repeat := a.route.Repeatable() && a.mayRetry(ctx, retryFailed)
	if !repeat && !a.options.Wire.MeansNotRun(response.Status) {
		return a.forwardResponse(ctx, response, body, outcome)
	}
	body.abortUnread(response)
	a.ticket.End(outcome)
	if repeat {
		return resultRetry
	}
	a.refuseOrAbort(a.client, upstreamFailedRefusal)
	return resultDone
}

// forwardResponse forwards the upstream's response unchanged and ends the ticket with outcome.
func (a *attempt) forwardResponse(ctx context.Context, response *httpconn.Response, body *responseBody, outcome balance.Outcome) sendResult {
	if (!body.complete || response.Unframed()) && !a.decided.CompareAndSwap(false, true) {
		body.abortUnread(response)
		return a.handleLost(ctx, errStalled) // the request moves to another upstream
	}
	if body.complete {
		a.ticket.End(outcome) // the slot at the upstream is free while the end is confirmed
		if err := a.confirmComplete(ctx, response); err != nil {
			return a.handleLost(ctx, err)
		}
	}
	if err := a.client.takeFraming(response.Unframed()); err != nil {
		body.abortUnread(response)
		return a.handleLost(ctx, err)
	}
	header := a.client.w.Header()
	a.options.Wire.CopyResponseHeader(header, response.Header)
	if length, known := body.total(); known && !response.Unframed() {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	a.client.writeHeader(response.Status)
	if err := a.forwardBody(ctx, response, body, outcome); err != nil {
		return a.handleInterrupted(ctx, err)
	}
	_ = a.client.finish() // it does not matter if the client has disconnected
	if response.Status/100 == 2 && !response.Unframed() {
		a.options.Poison.Succeeded(a.content, a.sentAt)
	}
	a.options.Durations.Add(a.route.Name, time.Since(a.request.Received))
	a.options.Metrics.ResponseForwarded(a.exchange, response.Status)
	a.options.Metrics.ResponseEnded(a.framing, "complete")
	a.log("answered", "upstream", a.ticket.Upstream.ID, "status", response.Status, "sends", a.sends, "framing", a.framing.String(), "bytes", body.size)
	return resultDone
}

// forwardBody writes the buffered part of the body and forwards the rest as it arrives. It fails if the
// rest breaks off or may be incomplete.
func (a *attempt) forwardBody(ctx context.Context, response *httpconn.Response, body *responseBody, outcome balance.Outcome) error {
	err := a.client.write(body.buffered)
	if body.complete {
		return nil // it does not matter if the client has disconnected
	}
	if err == nil {
		err = body.copyRest(a.client)
	}
	if err != nil {
		response.Abort()
		return err
	}
	response.Finish()
	a.ticket.End(outcome)
	_ = a.client.flush() // all that has arrived is sent before the end is confirmed
	return a.confirmComplete(ctx, response)
}

// handleInterrupted ends a response of which the client already has a part.
func (a *attempt) handleInterrupted(ctx context.Context, err error) sendResult {
	if errors.Is(err, errClientWrite) {
		return a.abortClient(ctx)
	}
	if a.handleLost(ctx, err) != resultDone {
		a.refuseOrAbort(a.client, upstreamFailedRefusal)
	}
	return resultDone
}

// countUsage counts the request for the usage report, once.
func (a *attempt) countUsage(at time.Time) {
	if a.usageCounted || a.workspace == nil {
		return
	}
	a.usageCounted = true
	a.options.Usage.Add(a.workspace.Name, at)
}
