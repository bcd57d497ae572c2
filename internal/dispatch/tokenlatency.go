package dispatch

import (
	"time"

	"mangoledge.example/mangoledge/internal/admission"
)

const (
	// latencySampleWeight is the weight of a new time between tokens in the mean.
	latencySampleWeight = 0.125
	// minLatencySamples is the number of samples below which the mean counts as at least
	// admission.TypicalTokenLatency.
	minLatencySamples = 8
)

// tokenLatency tracks the mean time between the tokens of a stream. It is used by one
// goroutine only.
type tokenLatency struct {
	mean    time.Duration
	samples int
	// last is when the last token arrived; zero after the connection was replaced.
	last time.Time
}

// observe records that a token arrived at now.
func (p *tokenLatency) observe(now time.Time) {
	last := p.last
	p.last = now
	if last.IsZero() {
		return
	}
	gap := now.Sub(last)
	p.samples++
	if p.samples == 1 {
		p.mean = gap
		return
	}
	p.mean += time.Duration(latencySampleWeight * float64(gap-p.mean))
}

// skipGap leaves the time to the next token out of the mean, because the connection
// was replaced.
func (p *tokenLatency) skipGap() {
	p.last = time.Time{}
}

// perToken returns the expected time per token.
func (p *tokenLatency) perToken() time.Duration {
	if p.samples < minLatencySamples {
		return max(p.mean, admission.TypicalTokenLatency)
	}
	return p.mean
}
