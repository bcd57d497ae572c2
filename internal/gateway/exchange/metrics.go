package exchange

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"mangoledge.example/mangoledge/internal/gateway/balance"
	"mangoledge.example/mangoledge/internal/gateway/httpconn"
	projectmetrics "mangoledge.example/mangoledge/internal/metrics"
)

// Metrics counts responses, refusals and retries, and measures latencies. It is safe for
// concurrent use.
type Metrics struct {
	registry metrics.Registry
}

// NewMetrics returns Metrics that registers its metrics in registry.
func NewMetrics(registry metrics.Registry) *Metrics { return &Metrics{registry: registry} }

// count adds one to a counter, whose exposed name ends in _total.
func (m *Metrics) count(name string, labels ...projectmetrics.Label) {
	metrics.GetOrRegisterCounter(projectmetrics.Name(name+"_total", labels...), m.registry).Inc(1)
}

func (m *Metrics) latency(name string, took time.Duration, labels ...projectmetrics.Label) {
	projectmetrics.GetOrRegisterLatency(projectmetrics.Name(name, labels...), m.registry).Observe(took)
}

// labels returns the labels common to the counters of responses and refusals.
func (e *exchange) labels() []projectmetrics.Label {
	kind := "none"
	if e.route != nil {
		kind = e.route.Kind.String()
	}
	return []projectmetrics.Label{
		{Name: "kind", Value: kind},
		{Name: "service", Value: e.service.Name},
		{Name: "workspace", Value: e.workspaceName()},
	}
}

// Refused counts a request that the gateway refused or failed itself.
func (m *Metrics) Refused(e *exchange, refused *refusal) {
	labels := append(e.labels(),
		projectmetrics.Label{Name: "reason", Value: refused.reason},
		projectmetrics.Label{Name: "may_have_run", Value: strconv.FormatBool(e.mayHaveRun)})
	m.count("gateway.refused", labels...)
}

// RetryRequested counts a requested retry and whether the budget allowed it.
func (m *Metrics) RetryRequested(e *exchange, cause retryCause, allowed bool) {
	m.count("gateway.repeats",
		projectmetrics.Label{Name: "service", Value: e.service.Name},
		projectmetrics.Label{Name: "cause", Value: string(cause)},
		projectmetrics.Label{Name: "allowed", Value: strconv.FormatBool(allowed)})
}

// UpstreamClosed counts an upstream that this node stops using because it is leaving or asked
// for no requests for a time.
func (m *Metrics) UpstreamClosed(e *exchange, why balance.Availability) {
	m.count("gateway.upstreams_taken_out",
		projectmetrics.Label{Name: "service", Value: e.service.Name},
		projectmetrics.Label{Name: "why", Value: why.String()})
}

// ResponseForwarded counts an upstream's response that was forwarded in full.
func (m *Metrics) ResponseForwarded(e *exchange, status int) {
	m.count("gateway.answered", append(e.labels(), projectmetrics.Label{Name: "status", Value: strconv.Itoa(status)})...)
	m.latency("gateway.answer_seconds", time.Since(e.request.Received), projectmetrics.Label{Name: "kind", Value: e.route.Kind.String()})
}

// ResponseEnded counts the end of an upstream's response, by its framing; end is "complete" or "lost".
func (m *Metrics) ResponseEnded(framing httpconn.Framing, end string) {
	m.count("gateway.answer_ends",
		projectmetrics.Label{Name: "framing", Value: framing.String()},
		projectmetrics.Label{Name: "end", Value: end})
}

// UnframedEndJudged counts the end of an unframed response, by what it was judged by.
func (m *Metrics) UnframedEndJudged(evidence endEvidence) {
	m.count("gateway.unframed_ends", projectmetrics.Label{Name: "evidence", Value: string(evidence)})
}

// FirstEvent records the time until the first event of a stream.
func (m *Metrics) FirstEvent(e *exchange, took time.Duration) {
	m.latency("gateway.first_event_seconds", took, projectmetrics.Label{Name: "service", Value: e.service.Name})
}

// ResponseAborted counts a response that was aborted after part of it was sent to the client.
func (m *Metrics) ResponseAborted(e *exchange) { m.count("gateway.broken_off", e.labels()...) }

// ResponseResumed counts a response that goes on at another upstream after part of it was sent to the
// client.
func (m *Metrics) ResponseResumed(e *exchange) { m.count("gateway.resumed", e.labels()...) }

// ClientGone counts a client that disconnected before its response was complete.
func (m *Metrics) ClientGone(e *exchange) { m.count("gateway.client_gone", e.labels()...) }
