package bench

import (
	"fmt"
	"time"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/routing"
)

const (
	// messageDelay is the one-way time of a message between two processes.
	messageDelay = time.Millisecond
	// reportInterval is the interval of the engines' load reports and cache events,
	// reportDelay the time until they reach the nodes.
	reportInterval = 500 * time.Millisecond
	reportDelay    = 800 * time.Millisecond
	// staleReportDelay is the delay of reports and cache events under FaultStale, in a run
	// of a minute.
	staleReportDelay = 10 * time.Second
	// eventLossRate is the fraction of batches of cache events that are lost.
	eventLossRate = 0.15
	// listDelayMin and listDelaySpread are the least time until a node receives a change of
	// the list of upstreams, and the range of the random time on top.
	listDelayMin    = 300 * time.Millisecond
	listDelaySpread = 1200 * time.Millisecond
	// restartTime is the time until a crashed engine is up again.
	restartTime = 15 * time.Second
	// replaceTime is the time until a replacement host is up, in a run of a minute.
	replaceTime = 20 * time.Second
	// noticeTime is the time between the notice of a reclaim and the loss of the host.
	noticeTime = 5 * time.Second
	// priceReclaimable and priceOnDemand are the prices of a host-hour.
	priceReclaimable = 2.0
	priceOnDemand    = 6.0
	// onDemandEvery selects one model host in that many to be on demand; the others are
	// reclaimable.
	onDemandEvery = 3

	modelName   = ident.Model("base")
	serviceName = ident.Service("plain")
)

// world is the simulation of one run: its clock, engines, work and faults.
type world struct {
	clock    *clock
	shape    Shape
	scenario Scenario
	engines  []*engine
	byID     map[ident.Upstream]*engine
	jobs     []*job
	result   *Result
	// computedBlocks holds the blocks that any engine has prefilled.
	computedBlocks map[routing.Block]struct{}
	system         system
	// perfectInformation is true for the oracle: messages take no time and cache events are
	// not lost.
	perfectInformation bool
	// pausedUntil is the time until which each node is paused.
	pausedUntil []time.Duration
	// reclaimAt is when the hosts that got a notice are taken.
	reclaimAt map[ident.Upstream]time.Duration
}

// newWorld returns a run with all engines up and no work yet.
func newWorld(shape Shape, scenario Scenario, seed uint64) *world {
	w := &world{
		clock:          newClock(seed, 1),
		shape:          shape,
		scenario:       scenario,
		byID:           make(map[ident.Upstream]*engine),
		result:         newResult(shape, scenario, seed),
		computedBlocks: make(map[routing.Block]struct{}),
		pausedUntil:    make([]time.Duration, shape.Nodes),
		reclaimAt:      make(map[ident.Upstream]time.Duration),
	}
	for i := range shape.Replicas {
		w.addEngine(fleet.Upstream{
			ID: ident.Upstream(fmt.Sprintf("m%d", i)), FailureDomain: domainOf(shape, i),
			Models: []ident.Model{modelName}, Slots: engineSlots,
			Reclaimable: i/shape.Domains%onDemandEvery != 0,
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

// domainOf returns the failure domain of the ith node, replica or service.
func domainOf(shape Shape, i int) ident.FailureDomain {
	return ident.FailureDomain(fmt.Sprintf("d%d", i%shape.Domains))
}

// addEngine starts an engine for u with the price of its market.
func (w *world) addEngine(u fleet.Upstream) {
	u.State = fleet.StateReady
	u.Host = ident.Host("h-" + string(u.ID))
	u.PricePerHour = priceOnDemand
	if u.Reclaimable {
		u.PricePerHour = priceReclaimable
	}
	e := &engine{world: w, upstream: u, slowdown: 1}
	e.start()
	w.engines = append(w.engines, e)
	w.byID[u.ID] = e
}

// run runs the whole scenario against s and returns what it measured.
func (w *world) run(s system, load float64) *Result {
	w.system = s
	for node := range w.shape.Nodes {
		s.updateUpstreams(node, w.upstreamList())
	}
	w.generateWork(load)
	w.scheduleFaults()
	w.startReports()
	end := w.shape.Duration + drainTime
	w.clock.runUntil(end)
	for _, e := range w.engines {
		if e.alive {
			e.paidTime += w.clock.now - e.upSince
		}
	}
	s.addCounts(w.result)
	w.result.summarize(w)
	return w.result
}

// drainTime is how long a run continues after the last arrival; it exceeds the longest
// deadline of a kind.
const drainTime = 26 * time.Second

// scheduleArrival schedules the arrival of a job and its deadline.
func (w *world) scheduleArrival(j *job) {
	w.clock.at(j.arrivesAt, func() { w.deliver(j) })
	w.clock.at(j.deadline, func() {
		if j.open() {
			w.closeJob(j, jobLate)
			w.system.expire(j)
		}
	})
}

// callerTimeout is the time after which a caller that got no answer turns to another node.
const callerTimeout = time.Second

// deliver gives a job to its node. If the node is paused, the caller tries the next one
// after callerTimeout.
func (w *world) deliver(j *job) {
	if !j.open() {
		return
	}
	if w.clock.now < w.pausedUntil[j.home] {
		j.home = (j.home + 1) % w.shape.Nodes
		w.clock.after(callerTimeout, func() { w.deliver(j) })
		return
	}
	w.system.submit(j.home, j)
}

// afterMessage runs f at a node after the delay of a message, or at the end of the node's
// pause. There is no delay under perfectInformation.
func (w *world) afterMessage(node int, delay time.Duration, f func()) {
	if w.perfectInformation {
		delay = 0
	}
	w.afterLocalDelay(node, delay, f)
}

// afterLocalDelay runs f at a node after a delay of the node's own, or at the end of the
// node's pause.
func (w *world) afterLocalDelay(node int, delay time.Duration, f func()) {
	w.clock.after(delay, func() {
		if until := w.pausedUntil[node]; w.clock.now < until {
			w.clock.at(until, f)
			return
		}
		f()
	})
}

// closeJob ends a job that is still open in the given state.
func (w *world) closeJob(j *job, state jobState) {
	if !j.open() {
		return
	}
	j.state = state
	j.endedAt = w.clock.now
}
