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
	// crashesEvery is how often crash counts are spread.
	crashesEvery = 500 * time.Millisecond
	// ownerTimeout is after what time a node chooses by itself instead of waiting for an owner.
	ownerTimeout = 100 * time.Millisecond
	// fullPause is how long an owner that refused is left alone.
	fullPause = 20 * time.Millisecond
	// holdPause is the pause before a request that found no slot asks again.
	holdPause = 10 * time.Millisecond
	// reservers is how many requests of a pool ask for a slot at once on one node.
	reservers = 8
	// silenceTimeout is after what time without a token a connection is replaced.
	silenceTimeout = 700 * time.Millisecond
	// watchEvery is how often streams are looked at.
	watchEvery = 250 * time.Millisecond
)

// variant says which parts of the product a run uses.
type variant struct {
	name string
	// oracle makes the run one node that knows everything at once.
	oracle bool
	// noOwner makes each node choose by itself by late reports.
	noOwner bool
	// noOvercommit lets no request wait at an upstream.
	noOvercommit bool
	// engineQueue makes requests wait in the engine's queue instead of the owner's line.
	engineQueue bool
	// noPrefix hides prompts' beginnings from all choices.
	noPrefix bool
	// noAdmission takes everything in, first come first served.
	noAdmission bool
	// weights changes the weights of the choice.
	weights func(*routing.Weights)
}

// product is the system under test: nodes with the real decision code.
type product struct {
	world   *world
	variant variant
	nodes   []*node
	members []membership.Member
	// reservers is how many requests of a pool ask for a slot at once on one node.
	reservers int
	// jobs finds the job of a ticket.
	jobs map[*admission.Ticket]*job
}

func newProduct(w *world, v variant) *product {
	p := &product{world: w, variant: v, reservers: reservers, jobs: make(map[*admission.Ticket]*job)}
	count := w.shape.Nodes
	if v.oracle {
		p.reservers *= count
		count = 1
		w.omniscient = true
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
	w.clock.after(crashesEvery, p.gossip)
	w.clock.after(watchEvery, p.watch)
	w.clock.after(intake.SweepInterval, p.sweep)
	return p
}

// nodeOf returns the node that a job arrived at.
func (p *product) nodeOf(number int) *node {
	return p.nodes[number%len(p.nodes)]
}

func (p *product) arrive(number int, j *job) {
	p.nodeOf(number).arrive(j)
}

func (p *product) learn(number int, list []fleet.Upstream) {
	if number < len(p.nodes) {
		p.nodes[number].learn(list)
	}
}

func (p *product) report(number int, id ident.Upstream, load routing.Load) {
	if number >= len(p.nodes) {
		return
	}
	n := p.nodes[number]
	n.table.RecordLoad(id, load)
	n.ledger.Table().RecordLoad(id, load)
}

func (p *product) events(number int, id ident.Upstream, events []routing.CacheEvent) {
	if number >= len(p.nodes) {
		return
	}
	n := p.nodes[number]
	now := p.world.clock.wall()
	n.ledger.Table().ApplyCacheEvents(now, id, events)
	if p.variant.noOwner {
		n.table.ApplyCacheEvents(now, id, events)
	}
}

func (p *product) finish(*Result) {}

// sweep refuses what waits in vain, as the intake of a node does.
func (p *product) sweep() {
	w := p.world
	w.clock.after(intake.SweepInterval, p.sweep)
	for _, n := range p.nodes {
		if w.clock.now < w.paused[n.number] {
			continue
		}
		n.admit.Expire(w.clock.wall())
		n.pump()
	}
}

// gossip spreads crash counts. How full an owner is goes by its replies alone,
// as between nodes.
func (p *product) gossip() {
	w := p.world
	w.clock.after(crashesEvery, p.gossip)
	for _, n := range p.nodes {
		if w.clock.now < w.paused[n.number] {
			continue
		}
		entries := n.registry.Snapshot()
		for _, other := range p.nodes {
			w.atNode(other.number, hop, func() { other.heard(n, entries) })
		}
	}
}
