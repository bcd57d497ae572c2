package bench

import (
	"time"
)

// reattach delivers the hidden tokens of an attempt whose connection went silent, and the
// following tokens as they come.
func (e *engine) reattach(a *attempt) {
	if a.done || !a.silent {
		return
	}
	a.silent = false
	j := a.job
	if a.hiddenTokens > 0 {
		e.world.result.recordToken(j, e.world.clock.now)
		j.lastTokenAt = e.world.clock.now
		if j.firstTokenAt == 0 {
			j.firstTokenAt = j.lastTokenAt
		}
	}
	j.generatedTokens += a.hiddenTokens
	a.hiddenTokens = 0
	a.lastTokenAt = e.world.clock.now
	if a.finished {
		a.end(endCompleted)
	}
}

// exportKV cancels an attempt and returns the time until its KV cache is exported. A host
// makes one export at a time.
func (e *engine) exportKV(a *attempt) time.Duration {
	bytes := float64(a.job.features.PromptTokens+a.job.generatedTokens) * kvBytesPerToken
	took := time.Duration(bytes / exportBytesPerSecond * float64(time.Second))
	now := e.world.clock.now
	e.exportFreeAt = max(e.exportFreeAt, now) + took
	e.cancel(a)
	return e.exportFreeAt - now
}

// prefillNeeded returns how many tokens the attempt has to prefill, and counts those among
// them that any engine has computed before.
func (e *engine) prefillNeeded(a *attempt) int {
	j := a.job
	if a.kvImported || e.upstream.Service != "" {
		return 0
	}
	blocks := j.features.Blocks
	cached := e.cache.match(blocks)
	need := 0
	for _, b := range blocks[cached:] {
		need += blockTokens
		if _, known := e.world.computedBlocks[b]; known {
			e.world.result.Recomputed += blockTokens
		}
		e.world.computedBlocks[b] = struct{}{}
	}
	if j.tailComputed {
		e.world.result.Recomputed += j.tailTokens() + j.generatedTokens
	}
	j.tailComputed = true
	return need + j.tailTokens() + j.generatedTokens
}
