package bench

import (
	"time"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/routing"
)

const (
	engineSlots = 16
	// engineQueue is how many requests wait at an engine before it answers that it is full.
	engineQueue = 32
	// stepBase and stepPerRunning make up the time of one decoding step.
	stepBase       = 10 * time.Millisecond
	stepPerRunning = 800 * time.Microsecond
	// stepPrefill is the most tokens prefilled in one step.
	stepPrefill = 160
	// prefillRate is in tokens a second.
	prefillRate = 16000
	// cacheBlocks is how many blocks of prompts an engine caches.
	cacheBlocks = 400
	// serviceSlots and serviceStep are those of a plain service, which answers in one step.
	serviceSlots = 8
	serviceStep  = 60 * time.Millisecond
	// kvBytesPerToken and exportRate size KV cache and its way out of a host, in bytes and bytes a second.
	kvBytesPerToken = 330_000
	exportRate      = 3e9
	// poisonTokens is after how many tokens a poison content crashes its upstream.
	poisonTokens = 3
)

// engine is a fake of a batching model engine, or of a plain service.
type engine struct {
	world    *world
	upstream fleet.Upstream
	cache    *prefixCache
	running  []*attempt
	waiting  []*attempt
	stepping bool
	alive    bool
	leaving  bool
	// life counts the engine's starts; a step of an earlier life is void.
	life int
	slow float64
	// exportFree is when the way out of the host is free again.
	exportFree time.Duration
	upSince    time.Duration
	paid       time.Duration
}

// submit sends an attempt to the engine.
func (e *engine) submit(a *attempt) {
	a.engine = e
	a.started = e.world.clock.now
	switch {
	case !e.alive:
		a.end(endUnreached)
	case e.leaving:
		a.end(endLeaving)
	case len(e.waiting) >= engineQueue:
		a.end(endFull)
	default:
		a.job.sent++
		e.waiting = append(e.waiting, a)
		e.kick()
	}
}

// end ends the attempt once.
func (a *attempt) end(how ending) {
	if a.over {
		return
	}
	a.over = true
	a.ended(a, how)
}

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

// cancel takes an attempt off the engine.
func (e *engine) cancel(a *attempt) {
	if a.over {
		return
	}
	a.over = true
	e.running = without(e.running, a)
	e.waiting = without(e.waiting, a)
	e.kick()
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

// die ends the engine and everything on it.
func (e *engine) die() {
	if !e.alive {
		return
	}
	e.alive = false
	e.life++
	e.stepping = false
	e.paid += e.world.clock.now - e.upSince
	lost := append(e.running, e.waiting...)
	e.running, e.waiting = nil, nil
	for _, a := range lost {
		a.end(endCrashed)
	}
}

// start brings the engine up with an empty cache.
func (e *engine) start() {
	e.alive = true
	e.leaving = false
	e.life++
	e.slow = max(e.slow, 1)
	e.upSince = e.world.clock.now
	e.cache = newPrefixCache(cacheBlocks)
	e.exportFree = 0
}

// load returns the load that the engine would report now.
func (e *engine) load() routing.Load {
	return routing.Load{Running: len(e.running), Waiting: len(e.waiting), MeasuredAt: e.world.clock.wall()}
}

func without(list []*attempt, a *attempt) []*attempt {
	for i, other := range list {
		if other == a {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
