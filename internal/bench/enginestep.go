package bench

import (
	"time"
)

// startStep fills free slots and starts a step, unless one is running or there is nothing
// to run.
func (e *engine) startStep() {
	if e.stepping || !e.alive {
		return
	}
	e.fillSlots()
	if len(e.running) == 0 {
		return
	}
	e.stepping = true
	generation := e.generation
	took, chunk := e.planStep()
	e.world.clock.after(took, func() {
		if e.generation == generation {
			e.finishStep(chunk)
		}
	})
}

// fillSlots moves waiting attempts into free slots, the most urgent first.
func (e *engine) fillSlots() {
	for len(e.running) < e.upstream.Slots && len(e.waiting) > 0 {
		best := 0
		for i, a := range e.waiting {
			if a.urgency > e.waiting[best].urgency {
				best = i
			}
		}
		a := e.waiting[best]
		e.waiting = append(e.waiting[:best], e.waiting[best+1:]...)
		a.prefillLeft = e.prefillNeeded(a)
		a.lastTokenAt = e.world.clock.now
		e.running = append(e.running, a)
	}
}

// planStep returns the duration of the next step and how many tokens it prefills.
func (e *engine) planStep() (time.Duration, int) {
	if e.upstream.Service != "" {
		return time.Duration(float64(serviceStepTime) * e.slowdown), 0
	}
	chunk := maxPrefillTokensPerStep
	wanted := 0
	decoding := 0
	for _, a := range e.running {
		if a.prefillLeft > 0 {
			wanted += a.prefillLeft
		} else {
			decoding++
		}
	}
	chunk = min(chunk, wanted)
	took := stepBaseTime + time.Duration(decoding)*stepTimePerDecoding + time.Duration(chunk)*time.Second/prefillTokensPerSecond
	return time.Duration(float64(took) * e.slowdown), chunk
}

// finishStep applies a finished step: chunk tokens are prefilled, and each decoding
// attempt gets one more token.
func (e *engine) finishStep(chunk int) {
	e.stepping = false
	kept := e.running[:0]
	var done []*attempt
	crash := false
	for _, a := range e.running {
		if a.prefillLeft > 0 {
			part := min(chunk, a.prefillLeft)
			chunk -= part
			a.prefillLeft -= part
			if a.prefillLeft > 0 || part == 0 {
				kept = append(kept, a)
				continue
			}
			e.cache.add(a.job.features.Blocks)
		}
		if e.generateToken(a) {
			done = append(done, a)
			continue
		}
		if a.job.poison && a.job.generatedTokens >= poisonTokens {
			crash = true
		}
		kept = append(kept, a)
	}
	clear(e.running[len(kept):])
	e.running = kept
	for _, a := range done {
		a.complete()
	}
	if crash {
		e.world.crashEngine(e)
		return
	}
	e.startStep()
}

// generateToken generates a token of a and reports whether it was the last one.
func (e *engine) generateToken(a *attempt) bool {
	j := a.job
	now := e.world.clock.now
	if a.silent {
		a.hiddenTokens++
		return j.generatedTokens+a.hiddenTokens >= j.outputTokens
	}
	if e.upstream.Service == "" && j.open() {
		e.world.result.recordToken(j, now)
	}
	if j.firstTokenAt == 0 {
		j.firstTokenAt = now
	}
	j.lastTokenAt = now
	a.lastTokenAt = now
	j.generatedTokens++
	return j.generatedTokens >= j.outputTokens
}

// complete ends an attempt whose last token was generated. On a silent connection the end
// is noticed only when the node reattaches.
func (a *attempt) complete() {
	if a.silent {
		a.finished = true
		return
	}
	a.end(endCompleted)
}
