package exchange

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/gateway/balance"
	"mangoledge.example/mangoledge/internal/gateway/rollout"
	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/ingress"
	"mangoledge.example/mangoledge/internal/poison"
)

const (
	// defaultTimeout limits a request for which neither client nor route sets a timeout.
	defaultTimeout = 60 * time.Second
)

// errDeadlineExceeded is the context's cause when the request's deadline, set by client or
// route, has passed.
var errDeadlineExceeded = errors.New("request deadline exceeded")

// Handler serves client requests over HTTP.
type Handler struct {
	options Options
}

// NewHandler returns a Handler with the given options.
func NewHandler(options Options) *Handler { return &Handler{options: options} }

// exchange is the state of one client request.
type exchange struct {
	options   *Options
	request   *site.Request
	config    *site.Config
	route     *site.Route
	workspace *site.Workspace
	service   site.Service
	// content identifies the request by what it asks for, independent of its attempt ID.
	content  poison.Content
	deadline time.Time
	// body is the memory of the request's body; nil before it is read.
	body *ingress.Body
	// bodyRead is true once the whole body was read.
	bodyRead bool
	// chargedQuota is the amount taken from the workspace's quota that may still be refunded.
	chargedQuota float64
	// mayHaveRun is true once an upstream may have started to run the request.
	mayHaveRun bool
	// undecided is true while the request is being sent and nothing tells yet whether it may have run.
	undecided bool
	// ticket is the last slot that was reserved at an upstream.
	ticket *balance.Ticket
	// sends is the number of times that the request was written to an upstream.
	sends          int
	triedUpstreams map[string]bool
	// retryGranted is true while a retry has been granted but not started.
	retryGranted atomic.Bool
	// lastEventID is the ID of the last stream event written to the client.
	lastEventID string
	// versions is the choice among the versions of the service's upstreams; nil before the first one.
	versions *rollout.Choice
	// usageCounted is true once the request was counted for the usage report.
	usageCounted bool
}

// ServeHTTP admits a request, sends it to an upstream and writes the response.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	e := &exchange{
		options:        &h.options,
		request:        h.options.Wire.DecodeRequest(r, received),
		triedUpstreams: make(map[string]bool),
	}
	defer e.release()
	limitWrites(w) // an interim response is written while the body is read
	if h.options.Shutdown() != nil {
		w.Header().Set("Connection", "close")
	}
	defer e.releaseBody()
	if refused := e.admit(w, r); refused != nil {
		e.limitUnreadBody(w, r)
		e.refuse(w, refused)
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), e.deadline, errDeadlineExceeded)
	defer cancel()
	e.run(ctx, newClientWriter(w, r))
}

// release frees what the request still holds, however its handler ended.
func (e *exchange) release() {
	if e.ticket != nil {
		e.ticket.End(balance.Abandoned)
	}
	if !e.undecided {
		e.refund()
	}
}

// refuse responds with a refusal and refunds the quota.
func (e *exchange) refuse(w http.ResponseWriter, refused *refusal) {
	e.refund()
	e.options.Metrics.Refused(e, refused)
	if !refused.crowded {
		e.log("refused", "status", refused.status, "reason", refused.reason, "retry_after", refused.retryAfter, "sends", e.sends, "content", e.content.String(), "crashing_part", e.crashingPart())
	}
	refused.write(w, e)
}

// refund returns the quota charged for a request that did not run.
func (e *exchange) refund() {
	if e.chargedQuota > 0 && !e.mayHaveRun {
		e.options.Quota.Refund(e.workspace.Name, e.chargedQuota)
		e.chargedQuota = 0
	}
}

// admit checks the request against the configuration, reads its body and charges the
// workspace's quota.
func (e *exchange) admit(w http.ResponseWriter, r *http.Request) *refusal {
	e.config = e.options.Configuration.Current()
	if e.config == nil {
		return configUnknownRefusal
	}
	if refused := e.match(); refused != nil {
		return refused
	}
	if refused := e.readBody(w, r); refused != nil {
		return refused
	}
	e.content = contentOf(e.request, e.workspaceName())
	if e.isQuarantined() {
		return poisonRefusal
	}
	if refused := e.refusalIfStopping(); refused != nil {
		return refused
	}
	return e.chargeQuota()
}

// match finds the route, the workspace and the service. If the configuration may be out of
// date, an unknown route or key is not a final error.
func (e *exchange) match() *refusal {
	e.route = e.config.Match(e.request.Host, e.request.Path)
	if e.route == nil {
		return e.refusalIfConfigFresh(noRouteRefusal)
	}
	if len(e.config.Workspaces) > 0 && !e.route.Public {
		e.workspace = e.config.ByKey(e.request.Key)
		if e.workspace == nil {
			return e.refusalIfConfigFresh(unknownKeyRefusal)
		}
	}
	e.service = e.config.Services[e.pickTarget()]
	e.setDeadline()
	return nil
}

// refusalIfConfigFresh returns refused if the configuration is current, else a refusal that
// asks the client to retry.
func (e *exchange) refusalIfConfigFresh(refused *refusal) *refusal {
	if e.options.Configuration.Age(e.request.Received) > e.options.MaxConfigAge {
		return configStaleRefusal
	}
	return refused
}

// setDeadline derives the deadline from the client's and the route's timeout, whichever is
// shorter.
func (e *exchange) setDeadline() {
	left := e.request.ClientTimeout
	if left == 0 {
		left = defaultTimeout
	}
	if e.route.Timeout > 0 {
		left = min(left, e.route.Timeout)
	}
	e.deadline = e.request.Received.Add(left)
}

// headerSize returns the size of the headers as sent over HTTP/1.1.
func headerSize(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return n
}

// chargeQuota takes the cost of the request from its workspace's quota.
func (e *exchange) chargeQuota() *refusal {
	if e.workspace == nil || e.workspace.Rate <= 0 {
		return nil
	}
	cost := e.request.Cost(e.workspace)
	decision := e.options.Quota.Take(e.workspace.Name, limitOf(e.workspace), cost)
	if !decision.Allowed {
		e.log("quota used up", "cost", cost, "left", decision.Available, "spent_in_window", decision.WindowSpent, "silent_nodes", decision.SilentNodes, "rate", e.workspace.Rate, "burst", e.workspace.Burst)
		return quotaRefusal(decision.RetryAfter)
	}
	e.chargedQuota = cost
	return nil
}

// workspaceName returns the workspace's name, or "" if the request has none.
func (e *exchange) workspaceName() string {
	if e.workspace == nil {
		return ""
	}
	return e.workspace.Name
}

// log logs a decision about this request, with the attributes common to all its log lines.
func (e *exchange) log(message string, attrs ...any) {
	attrs = append(attrs, "request", e.request.AttemptID, "after", time.Since(e.request.Received))
	if e.route != nil {
		attrs = append(attrs, "route", e.route.Name, "kind", e.route.Kind.String(), "workspace", e.workspaceName())
	}
	if e.config != nil {
		attrs = append(attrs, "config", e.config.Version)
	}
	e.options.Logger.Info(message, attrs...)
}
