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
