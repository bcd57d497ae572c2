package bench

import (
	"fmt"
	"time"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/routing"
)

const (
	// hop is the time of a message between two processes, one way.
	hop = time.Millisecond
	// reportEvery and reportLag are how often and how late engines report.
	reportEvery = 500 * time.Millisecond
	reportLag   = 800 * time.Millisecond
	// staleLag is how late reports and cache events are under FaultStale.
	staleLag = 10 * time.Second
	// eventGaps is the part of batches of cache events that is lost.
	eventGaps = 0.15
	// learnMin and learnSpread are how long a node takes to hear that the list of upstreams changed.
	learnMin    = 300 * time.Millisecond
	learnSpread = 1200 * time.Millisecond
	// restartTime is how long a crashed engine takes to come back.
	restartTime = 15 * time.Second
	// replaceTime is how long a replacement host takes to come up, in a run of a minute.
	replaceTime = 20 * time.Second
	// noticeTime is the notice before a reclaim.
	noticeTime = 5 * time.Second
	// priceReclaimable and priceOnDemand are per host-hour.
	priceReclaimable = 2.0
	priceOnDemand    = 6.0
	// reclaimableEvery: one host in three is on demand.
	reclaimableEvery = 3

	modelName   = ident.Model("base")
	serviceName = ident.Service("plain")
)

// world is one run: clock, engines, work and faults.
type world struct {
	clock    *clock
	shape    Shape
	scenario Scenario
	engines  []*engine
	byID     map[ident.Upstream]*engine
	jobs     []*job
	result   *Result
	computed map[routing.Block]struct{}
	system   system
	// omniscient is true for the oracle, which hears everything at once.
	omniscient bool
	// paused is until when each node is paused.
	paused []time.Duration
	// reclaimAt is when the hosts that got a notice go.
	reclaimAt map[ident.Upstream]time.Duration
}

func newWorld(shape Shape, scenario Scenario, seed uint64) *world {
	w := &world{
		clock:     newClock(seed, 1),
		shape:     shape,
		scenario:  scenario,
		byID:      make(map[ident.Upstream]*engine),
		result:    newResult(shape, scenario, seed),
		computed:  make(map[routing.Block]struct{}),
		paused:    make([]time.Duration, shape.Nodes),
		reclaimAt: make(map[ident.Upstream]time.Duration),
	}
	for i := range shape.Replicas {
		w.addEngine(fleet.Upstream{
			ID: ident.Upstream(fmt.Sprintf("m%d", i)), FailureDomain: domainOf(shape, i),
			Models: []ident.Model{modelName}, Slots: engineSlots,
			Reclaimable: i/shape.Domains%reclaimableEvery != 0,
		})
	}
	for i := range shape.Services {
		w.addEngine(fleet.Upstream{
			ID: ident.Upstream(fmt.Sprintf("s%d", i)), FailureDomain: domainOf(shape, i),
			Service: serviceName, Slots: serviceSlots,
		})
	}
	return w
}

func domainOf(shape Shape, i int) ident.FailureDomain {
	return ident.FailureDomain(fmt.Sprintf("d%d", i%shape.Domains))
}

func (w *world) addEngine(u fleet.Upstream) {
	u.State = fleet.StateReady
	u.Host = ident.Host("h-" + string(u.ID))
	u.PricePerHour = priceOnDemand
	if u.Reclaimable {
		u.PricePerHour = priceReclaimable
	}
	e := &engine{world: w, upstream: u, slow: 1}
	e.start()
	w.engines = append(w.engines, e)
	w.byID[u.ID] = e
}

// run plays the whole scenario against s.
func (w *world) run(s system, load float64) *Result {
	w.system = s
	for node := range w.shape.Nodes {
		s.learn(node, w.list())
	}
	w.makeWork(load)
	w.schedule()
	w.reports()
	end := w.shape.Length + lastDeadline
	w.clock.runUntil(end)
	for _, e := range w.engines {
		if e.alive {
			e.paid += w.clock.now - e.upSince
		}
	}
	s.finish(w.result)
	w.result.sum(w)
	return w.result
}

// lastDeadline is how long after the last arrival a run goes on.
const lastDeadline = 26 * time.Second

// arriveAt plans a job's arrival and its deadline.
func (w *world) arriveAt(j *job) {
	w.clock.at(j.arrive, func() { w.deliver(j) })
	w.clock.at(j.deadline, func() {
		if j.open() {
			w.close(j, jobLate)
			w.system.abandon(j)
		}
	})
}

// callerTimeout is after what time a caller that got no answer goes to another node.
const callerTimeout = time.Second

// deliver gives a job to its node; when that is paused, the caller tries another.
func (w *world) deliver(j *job) {
	if !j.open() {
		return
	}
	if w.clock.now < w.paused[j.home] {
		j.home = (j.home + 1) % w.shape.Nodes
		w.clock.after(callerTimeout, func() { w.deliver(j) })
		return
	}
	w.system.arrive(j.home, j)
}

// atNode runs f at a node when a message has got there, or when its pause is over.
func (w *world) atNode(node int, delay time.Duration, f func()) {
	if w.omniscient {
		delay = 0
	}
	w.later(node, delay, f)
}

// later runs f at a node after a pause of its own, or when the node's pause is over.
func (w *world) later(node int, delay time.Duration, f func()) {
	w.clock.after(delay, func() {
		if until := w.paused[node]; w.clock.now < until {
			w.clock.at(until, f)
			return
		}
		f()
	})
}

// close ends a job.
func (w *world) close(j *job, state jobState) {
	if !j.open() {
		return
	}
	j.state = state
	j.ended = w.clock.now
}
