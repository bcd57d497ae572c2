package exchange

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/poison"
)

const (
	// defaultPatience bounds a request whose client and route name no time.
	defaultPatience = 60 * time.Second
	// bodyReadTimeout bounds the time in which a client sends its body.
	bodyReadTimeout = 10 * time.Second
)

// errTimeOver is the cause of a context whose deadline is the client's or the route's.
var errTimeOver = errors.New("the client's or the route's time is over")

// Handler answers clients' requests.
type Handler struct {
	options Options
}

// NewHandler returns a handler.
func NewHandler(options Options) *Handler { return &Handler{options: options} }

// exchange is one client attempt.
type exchange struct {
	options   *Options
	request   *site.Request
	config    *site.Config
	route     *site.Route
	workspace *site.Workspace
	service   site.Service
	// content names what the client sent, whatever its attempt ID.
	content  poison.Fingerprint
	deadline time.Time
	// charged is what was taken off the workspace's quota and may be given back.
	charged float64
	// mayHaveRun is true once an upstream may have begun to run the request.
	mayHaveRun bool
	// sends counts the upstreams that the request was written to.
	sends int
	tried map[string]bool
	// granted is true while one more send is granted and not begun.
	granted atomic.Bool
	// lastEvent is the last event of a stream that the client has.
	lastEvent string
	// began is true once the request is counted as begun.
	began bool
}

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	e := &exchange{
		options: &h.options,
		request: h.options.Wire.DecodeRequest(r, received),
		tried:   make(map[string]bool),
	}
	if h.options.Leaving() {
		w.Header().Set("Connection", "close")
	}
	if refused := e.admit(w, r); refused != nil {
		e.refuse(w, refused)
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), e.deadline, errTimeOver)
	defer cancel()
	e.run(ctx, w)
}

// refuse answers with a refusal and gives the quota back.
func (e *exchange) refuse(w http.ResponseWriter, refused *refusal) {
	e.refund()
	e.options.Metrics.Refused(e, refused)
	e.log("refused", "status", refused.status, "reason", refused.reason, "retry_after", refused.retryAfter, "sends", e.sends, "content", e.content.String())
	refused.write(w, e)
}

// refund gives back what a request that did not run was charged.
func (e *exchange) refund() {
	if e.charged > 0 && !e.mayHaveRun {
		e.options.Quota.Refund(e.workspace.Name, e.charged)
		e.charged = 0
	}
}

// admit checks the request against the configuration, reads its body and charges its quota.
func (e *exchange) admit(w http.ResponseWriter, r *http.Request) *refusal {
	e.config = e.options.Configuration.Current()
	if e.config == nil {
		return refuseUnknownYet
	}
	if refused := e.match(); refused != nil {
		return refused
	}
	if refused := e.readBody(w, r); refused != nil {
		return refused
	}
	e.content = contentOf(e.request, e.workspaceName())
	if e.options.Poison.Convicted(e.content) {
		return refusePoison
	}
	return e.charge()
}

// match finds the route and the workspace. What is not found in a configuration
// that may be old is not refused for good.
func (e *exchange) match() *refusal {
	e.route = e.config.Match(e.request.Host, e.request.Path)
	if e.route == nil {
		return e.unlessOld(refuseNoRoute)
	}
	if len(e.config.Workspaces) > 0 && !e.route.Public {
		e.workspace = e.config.ByKey(e.request.Key)
		if e.workspace == nil {
			return e.unlessOld(refuseKey)
		}
	}
	e.service = e.config.Services[e.pickTarget()]
	e.setDeadline()
	return nil
}

func (e *exchange) unlessOld(refused *refusal) *refusal {
	if e.options.Configuration.Age(e.request.Received) > e.options.ConfigFresh {
		return refuseStaleConfig
	}
	return refused
}

func (e *exchange) setDeadline() {
	left := e.request.Patience
	if left == 0 {
		left = defaultPatience
	}
	if e.route.Timeout > 0 {
		left = min(left, e.route.Timeout)
	}
	e.deadline = e.request.Received.Add(left)
}

func (e *exchange) readBody(w http.ResponseWriter, r *http.Request) *refusal {
	if headerBytes(r.Header) > e.config.Limits.MaxHeaderBytes {
		return refuseHeader
	}
	if r.ContentLength > e.config.Limits.MaxBodyBytes {
		return refuseBody
	}
	if r.Body == nil || r.ContentLength == 0 {
		return nil
	}
	// A client that stops in the middle of its body holds a connection no longer than this.
	_ = http.NewResponseController(w).SetReadDeadline(e.request.Received.Add(bodyReadTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, e.config.Limits.MaxBodyBytes))
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refuseBody
	}
	if err != nil {
		return refuseBrokenBody
	}
	e.request.Body = body
	return nil
}

func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return n
}

// charge takes the request off its workspace's quota.
func (e *exchange) charge() *refusal {
	if e.workspace == nil || e.workspace.Rate <= 0 {
		return nil
	}
	cost := e.request.Cost(e.workspace)
	decision := e.options.Quota.Take(e.workspace.Name, limitOf(e.workspace), cost)
	if !decision.Allowed {
		e.log("quota used up", "cost", cost, "left", decision.Left, "spent_in_window", decision.Recent, "silent_nodes", decision.Silent, "rate", e.workspace.Rate, "burst", e.workspace.Burst)
		return refuseQuota(decision.RetryAfter)
	}
	e.charged = cost
	return nil
}

// workspaceName returns the workspace's name, or "".
func (e *exchange) workspaceName() string {
	if e.workspace == nil {
		return ""
	}
	return e.workspace.Name
}

// log writes one line on a decision of this request.
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
