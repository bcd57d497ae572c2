package bench

import (
	"fmt"
	"time"

	"mangoledge.example/mangoledge/internal/admission"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/intake"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/routing"
)

const (
	// crashCountInterval is the interval at which nodes exchange crash counts.
	crashCountInterval = 500 * time.Millisecond
	// ownerTimeout is the time after which a node that got no reply from an owner chooses
	// by itself.
	ownerTimeout = 100 * time.Millisecond
	// fullOwnerPause is how long an owner that had no slot is avoided.
	fullOwnerPause = 20 * time.Millisecond
	// noSlotPause is the least pause before a request that found no slot tries again.
	noSlotPause = 10 * time.Millisecond
	// maxReserving is how many requests of a pool may request a slot at the same time on
	// one node.
	maxReserving = 8
	// silenceTimeout is the time without a token after which a node reattaches to a stream.
	silenceTimeout = 700 * time.Millisecond
	// watchInterval is the interval at which streams are checked for silence.
	watchInterval = 250 * time.Millisecond
)

// variant describes which parts of the product a run uses.
type variant struct {
	name string
	// oracle replaces all nodes by one that learns everything without delay.
	oracle bool
	// noOwner makes each node choose by itself from late load reports.
	noOwner bool
	// noOvercommit lets no request wait at an upstream.
	noOvercommit bool
	// engineQueue makes requests wait in the engine's queue instead of the owner's line.
	engineQueue bool
	// noPrefix hides the prompts' prefixes from all choices.
	noPrefix bool
	// noAdmission admits all requests and serves them in the order of arrival: they share
	// one workspace and have no priorities or costs.
	noAdmission bool
	// weights changes the weights of the routing policy.
	weights func(*routing.Weights)
}

// product is the system under test: nodes that run the real decision code.
type product struct {
	world   *world
	variant variant
	nodes   []*node
	members []membership.Member
	// maxReserving is how many requests of a pool may request a slot at the same time on
	// one node.
	maxReserving int
	// jobs finds the job of an admission ticket.
	jobs map[*admission.Ticket]*job
}

// newProduct returns the product with the parts that v describes, and starts its periodic
// work.
func newProduct(w *world, v variant) *product {
	p := &product{world: w, variant: v, maxReserving: maxReserving, jobs: make(map[*admission.Ticket]*job)}
	count := w.shape.Nodes
	if v.oracle {
		p.maxReserving *= count
		count = 1
		w.perfectInformation = true
	}
	for i := range count {
		p.members = append(p.members, membership.Member{
			Incarnation:   ident.Incarnation(fmt.Sprintf("n%d_0000000000000000", i)),
			Node:          ident.Node(fmt.Sprintf("n%d", i)),
			FailureDomain: domainOf(w.shape, i),
			PeerAddress:   fmt.Sprint(i),
		})
	}
	for i := range p.members {
		p.nodes = append(p.nodes, p.newNode(i))
	}
	w.clock.after(crashCountInterval, p.spreadCrashCounts)
	w.clock.after(watchInterval, p.reattachSilent)
	w.clock.after(intake.SweepInterval, p.expireWaiting)
	return p
}

// nodeOf returns the node of the given number; the oracle has a single node for all.
func (p *product) nodeOf(number int) *node {
	return p.nodes[number%len(p.nodes)]
}

func (p *product) submit(number int, j *job) {
	p.nodeOf(number).submit(j)
}

func (p *product) updateUpstreams(number int, list []fleet.Upstream) {
	if number < len(p.nodes) {
		p.nodes[number].updateUpstreams(list)
	}
}

func (p *product) recordLoad(number int, id ident.Upstream, load routing.Load) {
	if number >= len(p.nodes) {
		return
	}
	n := p.nodes[number]
	n.table.RecordLoad(id, load)
	n.ledger.Table().RecordLoad(id, load)
}

func (p *product) applyCacheEvents(number int, id ident.Upstream, events []routing.CacheEvent) {
	if number >= len(p.nodes) {
		return
	}
	n := p.nodes[number]
	now := p.world.clock.wallTime()
	n.ledger.Table().ApplyCacheEvents(now, id, events)
	if p.variant.noOwner {
		n.table.ApplyCacheEvents(now, id, events)
	}
}

func (p *product) addCounts(*Result) {}

// expireWaiting sheds the waiting requests that can't meet their deadlines any more, as
// the intake of a real node does.
func (p *product) expireWaiting() {
	w := p.world
	w.clock.after(intake.SweepInterval, p.expireWaiting)
	for _, n := range p.nodes {
		if w.clock.now < w.pausedUntil[n.number] {
			continue
		}
		n.admit.Expire(w.clock.wallTime())
		n.reserveWaiting()
	}
}

// spreadCrashCounts sends the crash counts of each node to all nodes. The load of an
// owner is not sent: as in real nodes, only the owner's replies report it.
func (p *product) spreadCrashCounts() {
	w := p.world
	w.clock.after(crashCountInterval, p.spreadCrashCounts)
	for _, n := range p.nodes {
		if w.clock.now < w.pausedUntil[n.number] {
			continue
		}
		entries := n.registry.Snapshot()
		for _, other := range p.nodes {
			w.afterMessage(other.number, messageDelay, func() { other.receiveCrashCounts(n, entries) })
		}
	}
}
