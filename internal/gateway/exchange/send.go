package exchange

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/gateway/balance"
	"mangoledge.example/mangoledge/internal/gateway/httpconn"
	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/verdict"
)

const (
	// repeatableIdle is how long a connection may have been idle for a request that can be sent again.
	repeatableIdle = 15 * time.Second
	// onceIdle is the same for a request that cannot: a connection that was used a
	// moment ago is the least likely to be dead.
	onceIdle = 4 * time.Second
	// wholeBytes is up to which length an answer is read whole before it is passed on, so that
	// a broken one can be asked for again; a longer one is passed on as it comes.
	wholeBytes = 32 << 10
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 16 << 20
	// minStreamStall is the shortest silence after which a stream that may be resumed goes elsewhere.
	minStreamStall = 800 * time.Millisecond
	// stallFactor is how many times the expected time an upstream may take until then.
	stallFactor = 3
	// plainStallShare is the part of the target latency after which a plain request
	// goes to a second upstream, which then can still answer in time.
	plainStallShare = 0.6
)

var (
	// errStalled is the cause of giving up an upstream that is silent for too long.
	errStalled = errors.New("the upstream is silent")
	// errConvicted holds back a request whose content was convicted since it was admitted.
	errConvicted = errors.New("the content crashes upstreams")
)

// attempt is one send to an upstream.
type attempt struct {
	*exchange
	client *clientWriter
	ticket *balance.Ticket
	// sent is when the request was sent, by the time of day, and begun the same by the
	// clock of this process.
	sent, begun time.Time
	// stall ends the attempt when it fires; nil when silence is no reason to end it.
	stall *time.Timer
}

// send sends the request to the ticket's upstream and passes the answer on.
func (e *exchange) send(ctx context.Context, client *clientWriter, ticket *balance.Ticket) step {
	e.tried[ticket.Upstream.ID] = true
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := &attempt{exchange: e, client: client, ticket: ticket, sent: e.options.WallClock(), begun: time.Now()}
	if e.route.Repeatable() && e.sends+1 < min(e.route.MaxAttempts, maxSends) {
		tried := len(e.tried)
		a.stall = time.AfterFunc(a.stallTimeout(), func() { a.stalled(tried, cancel) })
		defer a.stall.Stop()
	}
	response, err := e.options.Pool.Do(ctx, ticket.Upstream.Address.String(), e.upstreamRequest(ticket))
	if err != nil {
		return a.failedToSend(ctx, err)
	}
	e.sends++
	e.options.Poison.Alive(ticket.Upstream, response.ConnectedAt(), a.begun)
	return a.receive(ctx, response)
}

// stalled gives a silent upstream up once another may get the request: its silence alone
// is no reason to end an answer.
func (a *attempt) stalled(tried int, cancel context.CancelCauseFunc) {
	others := a.options.Balancer.CountOpen(a.options.Upstreams.View().ByService[a.service.Name]) - tried
	if others <= 0 || a.options.Poison.Convicted(a.content) || !a.takeRepeat(repeatSilent) {
		return
	}
	a.granted.Store(true)
	cancel(errStalled)
}

// stallTimeout is after what silence the request goes to another upstream.
func (a *attempt) stallTimeout() time.Duration {
	if a.route.Kind != site.RouteStreaming {
		return max(time.Duration(plainStallShare*float64(a.route.TargetLatency)), 2*a.ticket.Expected())
	}
	return max(minStreamStall, a.route.TargetLatency, stallFactor*a.ticket.Expected())
}

func (e *exchange) upstreamRequest(ticket *balance.Ticket) *httpconn.Request {
	idle := onceIdle
	if e.route.Repeatable() {
		idle = repeatableIdle
	}
	return &httpconn.Request{
		Method: e.request.Method,
		Target: e.request.Target,
		Host:   e.request.Host,
		Header: e.options.Wire.UpstreamHeader(e.request, &Send{
			Upstream:    ticket.Upstream,
			Workspace:   e.workspaceName(),
			ResumeAfter: e.lastEvent,
			Urgency:     e.urgency(),
		}),
		Body:    e.request.Body,
		MaxIdle: idle,
		Prepare: func(h http.Header) error {
			e.options.Wire.SetLeft(h, time.Until(e.deadline))
			return e.mayBeSent(ticket.Upstream)
		},
	}
}

// mayBeSent says why the request must not be written any more: what was true when its
// upstream was chosen may have changed while a connection was made.
func (e *exchange) mayBeSent(to site.Upstream) error {
	if e.options.Poison.Convicted(e.content) {
		return errConvicted
	}
	if why, left := e.options.Balancer.Closed(to); why != balance.Open {
		return errors.Newf("the upstream is %s, for %s yet", why, left)
	}
	return nil
}

// heed notes what the upstream asks of this node in an answer.
func (a *attempt) heed(response *httpconn.Response, meta AnswerMeta) {
	u := a.ticket.Upstream
	if meta.Unclear != "" {
		a.log("time of quiet is unclear", "upstream", u.ID, "said", meta.Unclear, "taken_as", meta.Quiet)
	}
	if meta.Leaving {
		response.CloseAfter()
		if a.options.Balancer.Leave(u) {
			a.options.Pool.CloseIdle(u.Address.String())
			a.closed(balance.Leaving, 0, response.Status)
		}
	}
	if meta.Quiet > 0 && a.options.Balancer.LeaveAlone(u, meta.Quiet) {
		a.closed(balance.Quiet, meta.Quiet, response.Status)
	}
}

// closed tells that the upstream gets nothing from this node any more, or for a time.
func (a *attempt) closed(why balance.Closure, d time.Duration, status int) {
	a.options.Metrics.Closed(a.exchange, why)
	a.log("upstream taken out", "upstream", a.ticket.Upstream.ID, "born", a.ticket.Upstream.Born, "why", why.String(), "for", d, "status", status)
}

// failedToSend ends an attempt that got no head of an answer.
func (a *attempt) failedToSend(ctx context.Context, err error) step {
	var failed *httpconn.Error
	if errors.As(err, &failed) && failed.Stage == httpconn.StagePrepare {
		a.ticket.End(balance.Abandoned)
		delete(a.tried, a.ticket.Upstream.ID)
		a.log("request held back", "upstream", a.ticket.Upstream.ID, "error", err)
		return a.unless(ctx, stepHeldBack)
	}
	if httpconn.VerdictOf(err) == verdict.NotRun {
		a.ticket.End(a.outcome(ctx, balance.Unreachable))
		if ctx.Err() == nil {
			a.options.Poison.Unreachable(a.ticket.Upstream)
		}
		a.log("upstream not reached", "upstream", a.ticket.Upstream.ID, "error", err)
		return a.unless(ctx, stepUnreached)
	}
	a.sends++
	return a.lost(ctx, err)
}

// lost ends an attempt whose answer was lost: the request may have run.
func (a *attempt) lost(ctx context.Context, err error) step {
	a.mayHaveRun = true
	a.ticket.End(a.outcome(ctx, balance.Failed))
	if errors.Is(context.Cause(ctx), errStalled) {
		err = errStalled // what the closed connection says is the consequence
	}
	a.log("answer lost", "upstream", a.ticket.Upstream.ID, "error", err, "last_event", a.lastEvent, "content", a.content.String())
	a.options.Poison.AnswerLost(a.content, a.ticket.Upstream)
	return a.unless(ctx, stepFailed)
}

// outcome returns Abandoned when the client left or the time was over, else other.
func (a *attempt) outcome(ctx context.Context, other balance.Outcome) balance.Outcome {
	if ended(ctx) {
		return balance.Abandoned
	}
	return other
}

// unless returns other, unless the client left or the time is over: then the
// exchange ends here.
func (a *attempt) unless(ctx context.Context, other step) step {
	if !ended(ctx) {
		return other
	}
	if errors.Is(context.Cause(ctx), errTimeOver) {
		a.giveUp(a.client, a.timeRefusal(ctx))
		return stepDone
	}
	a.options.Metrics.ClientGone(a.exchange)
	a.log("client gone", "upstream", a.ticket.Upstream.ID, "sends", a.sends)
	panic(http.ErrAbortHandler)
}

// ended reports whether the client left or its time is over, and not just the upstream's.
func ended(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStalled)
}

// receive passes on an answer whose head is there.
func (a *attempt) receive(ctx context.Context, response *httpconn.Response) step {
	meta := a.options.Wire.DecodeAnswer(response.Status, response.Header)
	if meta.AttemptID != a.request.AttemptID && (meta.AttemptID != "" || response.Status/100 == 2) {
		response.Abort()
		return a.lost(ctx, errors.Newf("the answer belongs to request %q", meta.AttemptID))
	}
	a.heed(response, meta)
	switch {
	case meta.NotRun && a.options.Wire.PromisesNotRun(response.Status):
		return a.rejected(ctx, response, meta)
	case response.Status/100 == 2 && !meta.Signed:
		response.Abort()
		return a.lost(ctx, errors.New("a success without a signature"))
	case response.Status/100 == 2 && a.route.Kind == site.RouteStreaming:
		a.mayHaveRun = true
		return a.stream(ctx, response)
	}
	a.mayHaveRun = true
	return a.whole(ctx, response)
}

// rejected ends an attempt that the upstream states it did not run.
func (a *attempt) rejected(ctx context.Context, response *httpconn.Response, meta AnswerMeta) step {
	response.Discard()
	outcome := balance.Rejected
	if meta.WrongUpstream {
		outcome = balance.Unreachable
	}
	a.ticket.End(outcome)
	a.log("upstream rejected", "upstream", a.ticket.Upstream.ID, "status", response.Status, "wrong_upstream", meta.WrongUpstream)
	return a.unless(ctx, stepRejected)
}

// whole reads an answer and passes it on.
func (a *attempt) whole(ctx context.Context, response *httpconn.Response) step {
	body := &answerBody{reader: response.Body, length: response.ContentLength}
	if err := body.readFirst(); err != nil {
		response.Abort()
		return a.lost(ctx, err)
	}
	if body.complete {
		response.Finish()
	}
	a.countBegun(a.sent)
	a.ticket.Begun()
	if response.Status >= http.StatusInternalServerError || a.options.Wire.PromisesNotRun(response.Status) {
		return a.upstreamFailure(ctx, response, body)
	}
	return a.passOn(ctx, response, body, balance.Answered)
}

// upstreamFailure handles a failure that the upstream answered with after it ran the
// request; a status that promises the opposite is not passed on.
func (a *attempt) upstreamFailure(ctx context.Context, response *httpconn.Response, body *answerBody) step {
	a.log("upstream failed", "upstream", a.ticket.Upstream.ID, "status", response.Status)
	outcome := a.outcome(ctx, balance.Failed)
	repeat := !a.client.begun && a.route.Repeatable() && a.mayRepeat(ctx, repeatFailed)
	if !repeat && !a.client.begun && !a.options.Wire.PromisesNotRun(response.Status) {
		return a.passOn(ctx, response, body, outcome)
	}
	if !body.complete {
		response.Abort()
	}
	a.ticket.End(outcome)
	if repeat {
		return stepRepeat
	}
	a.giveUp(a.client, failedUpstream)
	return stepDone
}

// passOn gives the client the upstream's answer as it is, and ends the ticket with outcome.
func (a *attempt) passOn(ctx context.Context, response *httpconn.Response, body *answerBody, outcome balance.Outcome) step {
	if !body.complete && a.stall != nil && !a.stall.Stop() {
		response.Abort()
		return a.lost(ctx, errStalled) // it was given up for another upstream meanwhile
	}
	header := a.client.w.Header()
	a.options.Wire.CopyAnswerHeader(header, response.Header)
	if length, known := body.total(); known {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	a.client.begin(response.Status)
	err := a.client.write(body.first)
	if !body.complete {
		if err == nil {
			err = body.passRest(a.client)
		}
		if err != nil {
			response.Abort()
			return a.brokenOff(ctx, err)
		}
		response.Finish()
	}
	// A client that is gone after a whole answer needs nothing more.
	a.ticket.End(outcome)
	if response.Status/100 == 2 {
		a.options.Poison.Succeeded(a.content)
	}
	a.options.Metrics.Answered(a.exchange, response.Status)
	a.log("answered", "upstream", a.ticket.Upstream.ID, "status", response.Status, "sends", a.sends, "bytes", body.size)
	return stepDone
}

// brokenOff ends an answer of which the client has a part.
func (a *attempt) brokenOff(ctx context.Context, err error) step {
	if errors.Is(err, errClientTakesNoMore) {
		return a.clientLost(ctx)
	}
	if a.lost(ctx, err) != stepDone {
		a.giveUp(a.client, failedUpstream)
	}
	return stepDone
}

// countBegun counts the request once for the usage report.
func (a *attempt) countBegun(at time.Time) {
	if a.began || a.workspace == nil {
		return
	}
	a.began = true
	a.options.Usage.Add(a.workspace.Name, at)
}
