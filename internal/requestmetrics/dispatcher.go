// Package requestmetrics counts and times the requests of callers and their answers at one node.
//
// Invariants: only counts and times are kept; label values come from fixed sets,
// so the number of series is bounded.
package requestmetrics

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/ident"
	projectmetrics "mangoledge.example/mangoledge/internal/metrics"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/verdict"
)

// Next is the dispatcher whose requests are counted; *dispatch.Dispatcher is one.
type Next interface {
	Submit(ctx context.Context, sub dispatch.Submission) (dispatch.Attachment, error)
	Resume(ctx context.Context, res dispatch.Resumption) (dispatch.Attachment, error)
	Fetch(ctx context.Context, id ident.RequestID, workspace ident.Workspace) (*request.Record, error)
	Cancel(ctx context.Context, id ident.RequestID, workspace ident.Workspace) (*request.Record, error)
}

// Dispatcher passes all calls on to Next and counts submissions, resumes, refusals and events.
type Dispatcher struct {
	Next
	registry       metrics.Registry
	submitted      metrics.Counter
	resumed        metrics.Counter
	answered       metrics.Counter
	moved          metrics.Counter
	tokens         metrics.Counter
	followed       metrics.Counter
	firstTokenTime *projectmetrics.Latency
	tokenInterval  *projectmetrics.Latency
	answerTime     *projectmetrics.Latency
}

// New returns a Dispatcher that counts into registry.
func New(next Next, registry metrics.Registry) *Dispatcher {
	describeMetrics()
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, registry) }
	return &Dispatcher{
		Next:           next,
		registry:       registry,
		submitted:      counter("requests.submitted_total"),
		resumed:        counter("requests.resumed_total"),
		answered:       counter("requests.answered_total"),
		moved:          counter("requests.moved_total"),
		tokens:         counter("requests.tokens_sent_total"),
		followed:       counter("requests.followed"),
		firstTokenTime: projectmetrics.GetOrRegisterLatency("requests.first_token_seconds", registry),
		tokenInterval:  projectmetrics.GetOrRegisterLatency("requests.token_gap_seconds", registry),
		answerTime:     projectmetrics.GetOrRegisterLatency("requests.answer_seconds", registry),
	}
}

// describeMetrics sets the help texts.
func describeMetrics() {
	projectmetrics.Describe("requests.submitted_total", "Submissions whose input and token are right, resends included.")
	projectmetrics.Describe("requests.resumed_total", "Streams that callers came back to.")
	projectmetrics.Describe("requests.answered_total", "Answers that callers followed to the end.")
	projectmetrics.Describe("requests.moved_total", "Callers sent to another address, because this node leaves.")
	projectmetrics.Describe("requests.refused_total", "Refusals and failures of submissions and resumes told to callers, by code and verdict; not those of bad input or tokens.")
	projectmetrics.Describe("requests.tokens_sent_total", "Tokens sent to callers.")
	projectmetrics.Describe("requests.followed", "Requests that callers are connected for now.")
	projectmetrics.Describe("requests.first_token_seconds", "Time from a submission to its first token.")
	projectmetrics.Describe("requests.token_gap_seconds", "Time between two tokens of an answer.")
	projectmetrics.Describe("requests.answer_seconds", "Time from a submission to the end of its answer.")
}

// Submit passes a submission on and counts it, its refusal and the events of its answer.
func (d *Dispatcher) Submit(ctx context.Context, sub dispatch.Submission) (dispatch.Attachment, error) {
	d.submitted.Inc(1)
	attachment, err := d.Next.Submit(ctx, sub)
	if err != nil {
		d.countRefusal(verdict.From(err))
		return nil, err
	}
	return &countedAttachment{Attachment: attachment, dispatcher: d, submittedAt: time.Now()}, nil
}

// Resume passes a resume on and counts it, its refusal and the events of its answer.
func (d *Dispatcher) Resume(ctx context.Context, res dispatch.Resumption) (dispatch.Attachment, error) {
	d.resumed.Inc(1)
	attachment, err := d.Next.Resume(ctx, res)
	if err != nil {
		d.countRefusal(verdict.From(err))
		return nil, err
	}
	return &countedAttachment{Attachment: attachment, dispatcher: d}, nil
}

// countRefusal counts a refusal or failure by code and verdict.
func (d *Dispatcher) countRefusal(refusal *verdict.Error) {
	name := projectmetrics.Name("requests.refused_total",
		projectmetrics.Label{Name: "code", Value: string(refusal.Code)},
		projectmetrics.Label{Name: "verdict", Value: refusal.Verdict.String()})
	metrics.GetOrRegisterCounter(name, d.registry).Inc(1)
}
