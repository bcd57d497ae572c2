package dispatch

import (
	"time"

	"mangoledge.example/mangoledge/internal/admission"
)

const (
	// paceGain is the weight of a new time between tokens in the mean.
	paceGain = 0.125
	// minPaceSamples is how many times between tokens make a mean to rely on.
	minPaceSamples = 8
)

// pace is the mean time between the tokens of a stream. It belongs to one goroutine.
type pace struct {
	mean    time.Duration
	samples int
	// last is when the last token came; zero after the connection was replaced.
	last time.Time
}

// token notes that a token came at now.
func (p *pace) token(now time.Time) {
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
	p.mean += time.Duration(paceGain * float64(gap-p.mean))
}

// interrupt notes that the next token may come late or at once.
func (p *pace) interrupt() {
	p.last = time.Time{}
}

// perToken returns the time that a token is expected to take.
func (p *pace) perToken() time.Duration {
	if p.samples < minPaceSamples {
		return max(p.mean, admission.TypicalTokenLatency)
	}
	return p.mean
}
