package bench

import (
	"time"
)

// kick begins a step when none is going on.
func (e *engine) kick() {
	if e.stepping || !e.alive {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	e.stepping = true
	life := e.life
	took, chunk := e.plan()
	e.world.clock.after(took, func() {
		if e.life == life {
			e.step(chunk)
		}
	})
}

// admit moves waiting attempts into free slots, the most urgent first.
func (e *engine) admit() {
	for len(e.running) < e.upstream.Slots && len(e.waiting) > 0 {
		best := 0
		for i, a := range e.waiting {
			if a.urgency > e.waiting[best].urgency {
				best = i
			}
		}
		a := e.waiting[best]
		e.waiting = append(e.waiting[:best], e.waiting[best+1:]...)
		a.prefill = e.prefillNeeded(a)
		a.token = e.world.clock.now
		e.running = append(e.running, a)
	}
}

// plan returns the next step's time and how many tokens it prefills.
func (e *engine) plan() (time.Duration, int) {
	if e.upstream.Service != "" {
		return time.Duration(float64(serviceStep) * e.slow), 0
	}
	chunk := stepPrefill
	wanted := 0
	decoding := 0
	for _, a := range e.running {
		if a.prefill > 0 {
			wanted += a.prefill
		} else {
			decoding++
		}
	}
	chunk = min(chunk, wanted)
	took := stepBase + time.Duration(decoding)*stepPerRunning + time.Duration(chunk)*time.Second/prefillRate
	return time.Duration(float64(took) * e.slow), chunk
}

// step ends a step: each decoding attempt has a token more.
func (e *engine) step(chunk int) {
	e.stepping = false
	kept := e.running[:0]
	var done []*attempt
	crash := false
	for _, a := range e.running {
		if a.prefill > 0 {
			part := min(chunk, a.prefill)
			chunk -= part
			a.prefill -= part
			if a.prefill > 0 || part == 0 {
				kept = append(kept, a)
				continue
			}
			e.cache.add(a.job.features.Blocks)
		}
		if e.token(a) {
			done = append(done, a)
			continue
		}
		if a.job.poison && a.job.generated >= poisonTokens {
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
		e.world.crash(e)
		return
	}
	e.kick()
}

// token generates a token of a and reports whether it was the last.
func (e *engine) token(a *attempt) bool {
	j := a.job
	now := e.world.clock.now
	if a.silent {
		a.hidden++
		return j.generated+a.hidden >= j.output
	}
	if e.upstream.Service == "" && j.open() {
		e.world.result.noteToken(j, now)
	}
	if j.first == 0 {
		j.first = now
	}
	j.last = now
	a.token = now
	j.generated++
	return j.generated >= j.output
}

// complete ends an attempt whose last token was generated. On a silent
// connection nobody hears of it until somebody attaches again.
func (a *attempt) complete() {
	if a.silent {
		a.finished = true
		return
	}
	a.end(endDone)
}
