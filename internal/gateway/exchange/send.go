package exchange

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/gateway/balance"
	"mangoledge.example/mangoledge/internal/gateway/httpconn"
	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/poison"
	"mangoledge.example/mangoledge/internal/verdict"
)

const (
	// maxIdleRepeatable is the longest idle time of a connection used for a request that can be
	// sent again.
	maxIdleRepeatable = 15 * time.Second
	// maxIdleNonRepeatable is the same for a request that can't be sent again: a recently used
	// connection is the least likely to be dead.
	maxIdleNonRepeatable = 4 * time.Second
	// maxBufferedBytes is the size up to which a response is buffered in full before it is
	// forwarded, so that the request can be retried if the response breaks off. A longer
	// response is forwarded as it arrives.
	maxBufferedBytes = 32 << 10
	// maxResponseBytes limits the size of a response body.
	maxResponseBytes = 16 << 20
	// maxCrashDelay is how long after its first event a stream is still assumed to have just begun.
	maxCrashDelay = time.Second
	// minStreamStall is the shortest silence after which a resumable stream moves to another
	// upstream.
	minStreamStall = 800 * time.Millisecond
	// stallFactor is the multiple of the expected response time after which a stream moves to
	// another upstream.
	stallFactor = 3
	// plainStallShare is the share of the target latency after which a non-streaming request is
	// sent to a second upstream, which can then still respond in time.
	plainStallShare = 0.6
)

var (
	// errStalled is the context's cause when an upstream was silent for too long.
	errStalled = errors.New("the upstream is silent")
	// errContentBlocked stops a request whose content was blocked after the request was admitted.
	errContentBlocked = errors.New("the content is blocked because it crashes upstreams")
)

// attempt is one send of the request to an upstream.
type attempt struct {
	*exchange
	client *clientWriter
	ticket *balance.Ticket
	// sentAt is the wall-clock time at which the send started. startedAt is the same moment from
	// time.Now, whose monotonic reading measures intervals.
	sentAt, startedAt time.Time
	// firstEventAt is when the first event of a stream arrived; zero before that.
	firstEventAt time.Time
	// framing is how the response tells where it ends, once its header has arrived.
	framing httpconn.Framing
	// survived is true once the upstream has written for longer than maxCrashDelay.
	survived bool
	// stallTimer cancels the attempt when it fires and a retry is granted. It is nil if the request
	// must not move to another upstream.
	stallTimer *time.Timer
	// decided is set by whoever decides first how the attempt goes on: by a stall with a granted
	// retry, or by a long response that begins to be forwarded.
	decided atomic.Bool
}

// send sends the request to the ticket's upstream and forwards the response.
func (e *exchange) send(ctx context.Context, client *clientWriter, ticket *balance.Ticket) sendResult {
	e.triedUpstreams[ticket.Upstream.ID] = true
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := &attempt{exchange: e, client: client, ticket: ticket, sentAt: e.options.WallClock(), startedAt: time.Now()}
	if e.route.Repeatable() && e.sends+1 < min(e.route.MaxAttempts, maxSends) {
		tried := len(e.triedUpstreams)
		a.stallTimer = time.AfterFunc(a.stallTimeout(), func() { a.onStall(tried, cancel) })
		defer a.stallTimer.Stop()
	}
	result := a.exchangeOnce(ctx)
	e.undecided = false
	return result
}

// exchangeOnce writes the request to the upstream, once, and handles the response.
func (a *attempt) exchangeOnce(ctx context.Context) sendResult {
	e, ticket := a.exchange, a.ticket
	response, err := e.options.Pool.Do(ctx, ticket.Upstream.Address.String(), e.upstreamRequest(ticket))
	if err != nil {
		return a.handleSendError(ctx, err)
	}
	e.sends++
	e.options.Poison.Alive(ticket.Upstream, response.ConnectedAt(), a.startedAt)
	return a.handleResponse(ctx, response)
}

// onStall cancels a silent attempt if another upstream can take the request and a retry is
// granted. Silence alone does not end an attempt.
func (a *attempt) onStall(tried int, cancel context.CancelCauseFunc) {
	others := a.options.Balancer.CountOpen(a.options.Upstreams.View().ByService[a.service.Name]) - tried
	if others <= 0 || a.isQuarantined() || a.decided.Load() || !a.takeRetry(retrySilent) {
		return
	}
	if !a.decided.CompareAndSwap(false, true) {
		return // the response began to be forwarded meanwhile; the retry is not used
	}
	a.retryGranted.Store(true)
	cancel(errStalled)
}

// stallTimeout is the length of silence after which the request moves to another upstream.
func (a *attempt) stallTimeout() time.Duration {
	if a.route.Kind != site.RouteStreaming {
		return max(time.Duration(plainStallShare*float64(a.route.TargetLatency)), 2*a.ticket.ExpectedLatency())
	}
	return max(minStreamStall, a.route.TargetLatency, stallFactor*a.ticket.ExpectedLatency())
}

func (e *exchange) upstreamRequest(ticket *balance.Ticket) *httpconn.Request {
	idle := maxIdleNonRepeatable
	if e.route.Repeatable() {
		idle = maxIdleRepeatable
	}
	return &httpconn.Request{
		Method: e.request.Method,
		Target: e.request.Target,
		Host:   e.request.Host,
		Header: e.options.Wire.UpstreamHeader(e.request, &SendOptions{
			Upstream:    ticket.Upstream,
			Workspace:   e.workspaceName(),
			ResumeAfter: e.lastEventID,
			Urgency:     e.urgency(),
		}),
		Body:    e.request.Body,
		MaxIdle: idle,
		Prepare: func(h http.Header) error {
			e.options.Wire.SetTimeLeft(h, time.Until(e.deadline))
			err := e.checkSendable(ticket.Upstream)
			e.undecided = err == nil
			return err
		},
	}
}

// checkSendable returns an error if the request must not be sent any more: the content may have
// been blocked, or the upstream become unavailable, while the connection was made.
func (e *exchange) checkSendable(to site.Upstream) error {
	if e.isQuarantined() {
		return errContentBlocked
	}
	if availability, left := e.options.Balancer.Availability(to); availability != balance.Open {
		return errors.Newf("the upstream is %s, for %s yet", availability, left)
	}
	return nil
}

// handleSendError ends an attempt that received no response header.
func (a *attempt) handleSendError(ctx context.Context, err error) sendResult {
	var failed *httpconn.Error
	if errors.As(err, &failed) && failed.Stage == httpconn.StagePrepare {
		a.ticket.End(balance.Abandoned)
		delete(a.triedUpstreams, a.ticket.Upstream.ID)
		a.log("request held back", "upstream", a.ticket.Upstream.ID, "error", err)
		return a.resultUnlessEnded(ctx, resultNotSent)
	}
	if httpconn.VerdictOf(err) == verdict.NotRun {
		a.ticket.End(a.outcomeUnlessEnded(ctx, balance.Unreachable))
		if ctx.Err() == nil {
			a.options.Poison.Unreachable(a.ticket.Upstream)
		}
		a.log("upstream not reached", "upstream", a.ticket.Upstream.ID, "error", err)
		return a.resultUnlessEnded(ctx, resultUnreachable)
	}
	a.sends++
	return a.handleLost(ctx, err)
}

// handleLost ends an attempt whose response was lost. The request may have run.
func (a *attempt) handleLost(ctx context.Context, err error) sendResult {
	a.mayHaveRun = true
	a.ticket.End(a.outcomeUnlessEnded(ctx, balance.Failed))
	if errors.Is(context.Cause(ctx), errStalled) {
		err = errStalled // the connection's error is a consequence of closing it
	}
	a.options.Metrics.ResponseEnded(a.framing, "lost")
	a.log("answer lost", "upstream", a.ticket.Upstream.ID, "error", err, "framing", a.framing.String(), "last_event", a.lastEventID, "content", a.content.String(), "shared_parts", partIDs(a.request.SharedParts()))
	a.options.Poison.ResponseLost(a.suspectedContent(), a.ticket.Upstream)
	return a.resultUnlessEnded(ctx, resultLost)
}

// suspectedContent returns the content that may have crashed the upstream: without the prompt's
// parts if the upstream has written on them for some time.
func (a *attempt) suspectedContent() poison.Content {
	content := a.content
	if !a.firstEventAt.IsZero() && time.Since(a.firstEventAt) > maxCrashDelay {
		content.Parts = nil
	}
	return content
}

// outcomeUnlessEnded returns Abandoned if the client disconnected or the deadline passed, else
// other.
func (a *attempt) outcomeUnlessEnded(ctx context.Context, other balance.Outcome) balance.Outcome {
	if clientEnded(ctx) {
		return balance.Abandoned
	}
	return other
}

// resultUnlessEnded returns other, unless the client disconnected or the deadline passed. After
// the deadline it refuses the request; if the client disconnected it aborts the handler.
func (a *attempt) resultUnlessEnded(ctx context.Context, other sendResult) sendResult {
	if !clientEnded(ctx) {
		return other
	}
	if errors.Is(context.Cause(ctx), errDeadlineExceeded) {
		a.refuseOrAbort(a.client, a.deadlineRefusal(ctx))
		return resultDone
	}
	a.options.Metrics.ClientGone(a.exchange)
	a.log("client gone", "upstream", a.ticket.Upstream.ID, "sends", a.sends)
	panic(http.ErrAbortHandler)
}

// clientEnded reports whether the client disconnected or the deadline passed, as opposed to a
// stalled attempt.
func clientEnded(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStalled)
}
