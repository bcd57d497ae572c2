package exchange

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"mangoledge.example/mangoledge/internal/gateway/balance"
	projectmetrics "mangoledge.example/mangoledge/internal/metrics"
)

// Metrics counts what clients got. It is safe for concurrent use.
type Metrics struct {
	registry metrics.Registry
}

// NewMetrics returns metrics in registry.
func NewMetrics(registry metrics.Registry) *Metrics { return &Metrics{registry: registry} }

func (m *Metrics) count(name string, labels ...projectmetrics.Label) {
	metrics.GetOrRegisterCounter(projectmetrics.Name(name, labels...), m.registry).Inc(1)
}

func (m *Metrics) latency(name string, took time.Duration, labels ...projectmetrics.Label) {
	projectmetrics.GetOrRegisterLatency(projectmetrics.Name(name, labels...), m.registry).Observe(took)
}

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

// Refused counts an answer of the gateway's own.
func (m *Metrics) Refused(e *exchange, refused *refusal) {
	labels := append(e.labels(),
		projectmetrics.Label{Name: "reason", Value: refused.reason},
		projectmetrics.Label{Name: "may_have_run", Value: strconv.FormatBool(e.mayHaveRun)})
	m.count("gateway.refused", labels...)
}

// Repeat counts a wish to send a request once more.
func (m *Metrics) Repeat(e *exchange, cause repeatCause, allowed bool) {
	m.count("gateway.repeats",
		projectmetrics.Label{Name: "service", Value: e.service.Name},
		projectmetrics.Label{Name: "cause", Value: string(cause)},
		projectmetrics.Label{Name: "allowed", Value: strconv.FormatBool(allowed)})
}

// Closed counts an upstream that asked to be left alone.
func (m *Metrics) Closed(e *exchange, why balance.Closure) {
	m.count("gateway.upstreams_taken_out",
		projectmetrics.Label{Name: "service", Value: e.service.Name},
		projectmetrics.Label{Name: "why", Value: why.String()})
}

// Answered counts an answer of an upstream that was passed on whole.
func (m *Metrics) Answered(e *exchange, status int) {
	m.count("gateway.answered", append(e.labels(), projectmetrics.Label{Name: "status", Value: strconv.Itoa(status)})...)
	m.latency("gateway.answer_seconds", time.Since(e.request.Received), projectmetrics.Label{Name: "kind", Value: e.route.Kind.String()})
}

// FirstEvent notes the time to the first event of a stream.
func (m *Metrics) FirstEvent(e *exchange, took time.Duration) {
	m.latency("gateway.first_event_seconds", took, projectmetrics.Label{Name: "service", Value: e.service.Name})
}

// Broken counts an answer that was broken off.
func (m *Metrics) Broken(e *exchange) { m.count("gateway.broken_off", e.labels()...) }

// ClientGone counts a client that left before its answer.
func (m *Metrics) ClientGone(e *exchange) { m.count("gateway.client_gone", e.labels()...) }
