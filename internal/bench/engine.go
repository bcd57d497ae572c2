package bench

import (
	"time"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/routing"
)

const (
	engineSlots = 16
	// engineQueueLimit is how many requests may wait at an engine; it refuses more as full.
	engineQueueLimit = 32
	// stepBaseTime and stepTimePerDecoding make up the time of one decoding step.
	stepBaseTime        = 10 * time.Millisecond
	stepTimePerDecoding = 800 * time.Microsecond
	// maxPrefillTokensPerStep is the most tokens that are prefilled in one step.
	maxPrefillTokensPerStep = 160
	prefillTokensPerSecond  = 16000
	// cacheBlocks is how many prompt blocks an engine caches.
	cacheBlocks = 400
	// serviceSlots and serviceStepTime are those of a plain service, which answers in one step.
	serviceSlots    = 8
	serviceStepTime = 60 * time.Millisecond
	// kvBytesPerToken is the size of the KV cache, exportBytesPerSecond the rate at which a
	// host exports it.
	kvBytesPerToken      = 330_000
	exportBytesPerSecond = 3e9
	// poisonTokens is after how many tokens poison content crashes its upstream.
	poisonTokens = 3
)

// engine simulates a batching model engine or a plain service.
type engine struct {
	world    *world
	upstream fleet.Upstream
	cache    *prefixCache
	running  []*attempt
	waiting  []*attempt
	stepping bool
	alive    bool
	leaving  bool
	// generation changes with each start and stop; a step that began in an earlier
	// generation is dropped.
	generation int
	// slowdown is the factor of all step times; 1 is normal.
	slowdown float64
	// exportFreeAt is when the exports that are queued at the host are done.
	exportFreeAt time.Duration
	// upSince is when the engine last started; paidTime is the sum of its earlier times in
	// service, for which its host is paid.
	upSince  time.Duration
	paidTime time.Duration
}

// submit sends an attempt to the engine, which queues or refuses it.
func (e *engine) submit(a *attempt) {
	a.engine = e
	a.startedAt = e.world.clock.now
	switch {
	case !e.alive:
		a.end(endUnreachable)
	case e.leaving:
		a.end(endLeaving)
	case len(e.waiting) >= engineQueueLimit:
		a.end(endFull)
	default:
		a.job.sent++
		e.waiting = append(e.waiting, a)
		e.startStep()
	}
}

// end ends the attempt unless it has ended.
func (a *attempt) end(how ending) {
	if a.done {
		return
	}
	a.done = true
	a.onEnd(a, how)
}

// cancel removes an attempt from the engine without calling onEnd.
func (e *engine) cancel(a *attempt) {
	if a.done {
		return
	}
	a.done = true
	e.running = removeAttempt(e.running, a)
	e.waiting = removeAttempt(e.waiting, a)
	e.startStep()
}

// kill stops the engine; all its attempts end as crashed.
func (e *engine) kill() {
	if !e.alive {
		return
	}
	e.alive = false
	e.generation++
	e.stepping = false
	e.paidTime += e.world.clock.now - e.upSince
	lost := append(e.running, e.waiting...)
	e.running, e.waiting = nil, nil
	for _, a := range lost {
		a.end(endCrashed)
	}
}

// start starts the engine with an empty cache.
func (e *engine) start() {
	e.alive = true
	e.leaving = false
	e.generation++
	e.slowdown = max(e.slowdown, 1)
	e.upSince = e.world.clock.now
	e.cache = newPrefixCache(cacheBlocks)
	e.exportFreeAt = 0
}

// load returns the engine's present load.
func (e *engine) load() routing.Load {
	return routing.Load{Running: len(e.running), Waiting: len(e.waiting), MeasuredAt: e.world.clock.wallTime()}
}

// removeAttempt removes a from list in place.
func removeAttempt(list []*attempt, a *attempt) []*attempt {
	for i, other := range list {
		if other == a {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
