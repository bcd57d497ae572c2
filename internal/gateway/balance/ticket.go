package balance

import (
	"time"

	"mangoledge.example/mangoledge/internal/gateway/profile"
	"mangoledge.example/mangoledge/internal/gateway/site"
)

// Outcome is how a request ended at its upstream.
type Outcome uint8

const (
	// Answered requests got a complete response, or a failure that is not the upstream's fault.
	Answered Outcome = iota
	// Failed requests got a failure or an incomplete response.
	Failed
	// Unreachable upstreams did not accept the connection, or a different upstream now uses their
	// address.
	Unreachable
	// Rejected requests were not run, as their upstream stated, for instance for lack of
	// capacity.
	Rejected
	// Abandoned requests were not sent, or were cancelled by the client or at their deadline.
	Abandoned
)

// Ticket represents one request in progress at an upstream.
type Ticket struct {
	Upstream site.Upstream
	// UncachedTokens is the estimated number of prompt tokens that the upstream has to prefill.
	UncachedTokens int

	balancer *Balancer
	state    *upstreamState
	sentAt   time.Time
	// expected is the latency estimated when the ticket was opened.
	expected time.Duration
	// service is the model of the service, and work what the request found at the upstream.
	service *profile.Service
	work    profile.Work
	// attempt is the ID of the request, and failedBefore holds the upstreams at which it failed before.
	attempt      string
	failedBefore []*upstreamState
	// started is true once the first event arrived or the ticket ended.
	started bool
}

// ExpectedLatency returns the estimated time from sending the request to its first event.
func (t *Ticket) ExpectedLatency() time.Duration { return t.expected }

// RecordFirstEvent records that the first event arrived.
func (t *Ticket) RecordFirstEvent() {
	b := t.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.started {
		return
	}
	t.started = true
	t.state.pendingPrefill -= t.UncachedTokens
	now := b.now()
	took := now.Sub(t.sentAt)
	t.state.recordLatency(took, t.expected)
	b.latencyRatio.add(t.UncachedTokens, took, assumedLatency(t.work))
	b.speeds.recordOwn(t, took, now)
}

// End records the outcome of the request and closes the ticket. Further calls do nothing.
func (t *Ticket) End(outcome Outcome) {
	b := t.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, open := t.state.openTickets[t]; !open {
		return
	}
	delete(t.state.openTickets, t)
	if !t.started {
		t.started = true
		t.state.pendingPrefill -= t.UncachedTokens
	}
	b.recordRepeat(t, outcome)
	t.state.recordOutcome(outcome, b.failureWeight(t), b.now())
	if outcome == Failed {
		t.state.lastFailed = t.attempt
	}
}

// recordLatency updates the slowdown from the measured and the expected time to the first event.
func (s *upstreamState) recordLatency(took, expected time.Duration) {
	ratio := float64(took) / float64(max(expected, minExpectedLatency))
	ratio = min(max(ratio, minSlowdown), maxSlowdown)
	s.slowdown += slowdownWeight * (ratio - s.slowdown)
	s.slowdown = min(max(s.slowdown, minSlowdown), maxSlowdown)
}

// recordOutcome updates the upstream's record; blame is the weight of a failure.
func (s *upstreamState) recordOutcome(outcome Outcome, blame float64, now time.Time) {
	switch outcome {
	case Answered:
		s.failureRate -= failureWeight * s.failureRate
		s.connectFailures = 0
	case Failed:
		s.lastBlame = blame * (1 - s.failureRate)
		s.failureRate += s.lastBlame
		s.updatedAt = now
	case Unreachable:
		s.connectFailures++
		s.backoffUntil = now.Add(min(initialBackoff<<min(s.connectFailures-1, 4), maxBackoff))
	case Rejected:
		s.backoffUntil = now.Add(rejectedBackoff)
	case Abandoned:
	}
}
