package balance

import (
	"time"

	"mangoledge.example/mangoledge/internal/gateway/profile"
)

const (
	// minSpeedTokens is the length of a prompt, in uncached tokens, from which the time to the
	// first event mostly depends on the engine's speed.
	minSpeedTokens = 1000
	// speedWeight is the smoothing weight of one request in LatencyRatio, and minSpeedSamples the
	// number of requests from which it is known.
	speedWeight     = 0.02
	minSpeedSamples = 20
	// maxSpeedSample bounds one request's ratio: a stuck upstream says nothing about the others.
	maxSpeedSample = 4
)

// latencyRatio is the smoothed ratio of measured to modelled time to the first event, over all
// engines that a node sends to. The model assumes prefillRate.
type latencyRatio struct {
	value   float64
	samples int
}

// add records one request with the given number of uncached prompt tokens.
func (r *latencyRatio) add(tokens int, took, modelled time.Duration) {
	if tokens < minSpeedTokens || modelled <= 0 {
		return
	}
	r.samples++
	sample := min(took.Seconds()/modelled.Seconds(), maxSpeedSample)
	r.value += max(speedWeight, 1/float64(r.samples)) * (sample - r.value)
}

// LatencyRatio returns the ratio of the measured to the modelled time to the first event, smoothed
// over this node's latest requests to engines; ok is false until it is known. It is below 1 where
// engines are faster than modelled and grows with their load.
func (b *Balancer) LatencyRatio() (ratio float64, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.latencyRatio.value, b.latencyRatio.samples >= minSpeedSamples
}

// assumedLatency returns the time to the first event by the assumed speed of engines.
func assumedLatency(w profile.Work) time.Duration {
	prefill := float64(w.Tokens+w.Ahead) / prefillRate * float64(time.Second)
	return baseLatency + time.Duration(prefill) + time.Duration(w.Open)*latencyPerRequest
}
