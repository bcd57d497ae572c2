package bench

import (
	"time"
)

// resume attaches again to an attempt whose connection went silent.
func (e *engine) resume(a *attempt) {
	if a.over || !a.silent {
		return
	}
	a.silent = false
	j := a.job
	if a.hidden > 0 {
		e.world.result.noteToken(j, e.world.clock.now)
		j.last = e.world.clock.now
		if j.first == 0 {
			j.first = j.last
		}
	}
	j.generated += a.hidden
	a.hidden = 0
	a.token = e.world.clock.now
	if a.finished {
		a.end(endDone)
	}
}

// export takes an attempt off the engine and returns how long its KV cache is on its way.
func (e *engine) export(a *attempt) time.Duration {
	bytes := float64(a.job.features.PromptTokens+a.job.generated) * kvBytesPerToken
	took := time.Duration(bytes / exportRate * float64(time.Second))
	now := e.world.clock.now
	e.exportFree = max(e.exportFree, now) + took
	e.cancel(a)
	return e.exportFree - now
}

// prefillNeeded returns how many tokens the attempt has to prefill and counts
// those that were computed before, somewhere.
func (e *engine) prefillNeeded(a *attempt) int {
	j := a.job
	if a.moved || e.upstream.Service != "" {
		return 0
	}
	blocks := j.features.Blocks
	cached := e.cache.match(blocks)
	need := 0
	for _, b := range blocks[cached:] {
		need += blockTokens
		if _, known := e.world.computed[b]; known {
			e.world.result.Recomputed += blockTokens
		}
		e.world.computed[b] = struct{}{}
	}
	if j.tailComputed {
		e.world.result.Recomputed += j.tail() + j.generated
	}
	j.tailComputed = true
	return need + j.tail() + j.generated
}
