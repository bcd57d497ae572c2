// Package requestmetrics counts what callers ask for and receive at one node.
//
// Invariants: nothing but counts and times is kept; labels come from fixed sets,
// so the number of series is bounded.
package requestmetrics

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/ident"
	shown "mangoledge.example/mangoledge/internal/metrics"
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

// Dispatcher passes everything on to Next and counts it.
type Dispatcher struct {
	Next
	registry   metrics.Registry
	submitted  metrics.Counter
	resumed    metrics.Counter
	answered   metrics.Counter
	moved      metrics.Counter
	tokens     metrics.Counter
	following  metrics.Counter
	firstToken *shown.Latency
	tokenGap   *shown.Latency
	whole      *shown.Latency
}

// New returns a Dispatcher that counts into registry.
func New(next Next, registry metrics.Registry) *Dispatcher {
	describe()
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, registry) }
	return &Dispatcher{
		Next:       next,
		registry:   registry,
		submitted:  counter("requests.submitted_total"),
		resumed:    counter("requests.resumed_total"),
		answered:   counter("requests.answered_total"),
		moved:      counter("requests.moved_total"),
		tokens:     counter("requests.tokens_sent_total"),
		following:  counter("requests.followed"),
		firstToken: shown.GetOrRegisterLatency("requests.first_token_seconds", registry),
		tokenGap:   shown.GetOrRegisterLatency("requests.token_gap_seconds", registry),
		whole:      shown.GetOrRegisterLatency("requests.answer_seconds", registry),
	}
}

func describe() {
	shown.Describe("requests.submitted_total", "Submissions whose input and token are right, resends included.")
	shown.Describe("requests.resumed_total", "Streams that callers came back to.")
	shown.Describe("requests.answered_total", "Answers that callers followed to the end.")
	shown.Describe("requests.moved_total", "Callers sent to another address, because this node leaves.")
	shown.Describe("requests.refused_total", "Refusals and failures of submissions and resumes told to callers, by code and verdict; not those of bad input or tokens.")
	shown.Describe("requests.tokens_sent_total", "Tokens sent to callers.")
	shown.Describe("requests.followed", "Requests that callers are connected for now.")
	shown.Describe("requests.first_token_seconds", "Time from a submission to its first token.")
	shown.Describe("requests.token_gap_seconds", "Time between two tokens of an answer.")
	shown.Describe("requests.answer_seconds", "Time from a submission to the end of its answer.")
}

// Submit counts a submission.
func (d *Dispatcher) Submit(ctx context.Context, sub dispatch.Submission) (dispatch.Attachment, error) {
	d.submitted.Inc(1)
	attachment, err := d.Next.Submit(ctx, sub)
	if err != nil {
		d.refused(verdict.From(err))
		return nil, err
	}
	return &followed{Attachment: attachment, counts: d, submitted: time.Now()}, nil
}

// Resume counts a caller that comes back.
func (d *Dispatcher) Resume(ctx context.Context, res dispatch.Resumption) (dispatch.Attachment, error) {
	d.resumed.Inc(1)
	attachment, err := d.Next.Resume(ctx, res)
	if err != nil {
		d.refused(verdict.From(err))
		return nil, err
	}
	return &followed{Attachment: attachment, counts: d}, nil
}

// refused counts a refusal by code and verdict.
func (d *Dispatcher) refused(refusal *verdict.Error) {
	name := shown.Name("requests.refused_total",
		shown.Label{Name: "code", Value: string(refusal.Code)},
		shown.Label{Name: "verdict", Value: refusal.Verdict.String()})
	metrics.GetOrRegisterCounter(name, d.registry).Inc(1)
}
