package bench

import (
	"math/rand/v2"

	"mangoledge.example/mangoledge/internal/admission"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/owner"
	"mangoledge.example/mangoledge/internal/poison"
	"mangoledge.example/mangoledge/internal/retry"
	"mangoledge.example/mangoledge/internal/routing"
	"mangoledge.example/mangoledge/internal/verdict"
)

// node is one node of the product.
type node struct {
	product           *product
	number            int
	member            membership.Member
	table             *routing.Table
	router            *routing.Router
	ledger            *owner.Ledger
	directory         *owner.Directory
	admit             *admission.Controller
	estimator         *admission.Estimator
	budget            *retry.Budget
	retry             *retry.Policy
	registry          *poison.Registry
	gate              *poison.Gate
	list              []fleet.Upstream
	reservationSerial uint64
	// passSerial counts the node's calls to gates, to number its passes.
	passSerial uint64
	// reserving counts the requests that request a slot, by pool.
	reserving map[routing.Pool]int
	pools     []routing.Pool
	running   []*job
	random    *rand.Rand
}

// newNode returns the ith node with the real decision code and random sources of its own.
func (p *product) newNode(i int) *node {
	w := p.world
	weights := routing.WeightsFor(w.shape.Latency)
	if p.variant.weights != nil {
		p.variant.weights(&weights)
	}
	source := func(stream uint64) *rand.Rand {
		return rand.New(rand.NewPCG(w.result.Seed, stream*1000+uint64(i)))
	}
	n := &node{product: p, number: i, member: p.members[i], random: source(1)}
	policy := routing.CostPolicy{Weights: weights}
	n.table = routing.NewTable(routing.Options{LocalDomain: n.member.FailureDomain, MaxAge: owner.MaxUpstreamListAge})
	n.router = routing.NewRouter(n.table, policy, source(2))
	waiting := routing.DefaultOvercommit
	if p.variant.noOvercommit {
		waiting = 0
	}
	n.ledger = owner.NewLedger(n.member.Node, n.member.FailureDomain, policy, waiting, source(3))
	n.directory = owner.NewDirectory(n.member, source(4))
	n.estimator = admission.NewEstimator()
	n.admit = admission.NewController(p.admissionSettings(n))
	n.budget = retry.NewBudget(retry.DefaultRetryShare, retry.DefaultReserve)
	n.retry = retry.NewPolicy(n.budget, source(5))
	n.registry = poison.NewRegistry()
	n.gate = poison.NewGate(n.registry)
	n.reserving = make(map[routing.Pool]int)
	return n
}

// admissionSettings returns the default settings, with shed jobs handed to n.
func (p *product) admissionSettings(n *node) admission.Settings {
	return admission.Settings{
		OnShed: func(t *admission.Ticket, _ *verdict.Error) { n.shed(t) },
	}
}

// receiveCrashCounts merges the crash counts of another node. Each message, also the
// node's own, confirms that the node's lists are current.
func (n *node) receiveCrashCounts(from *node, entries []poison.Entry) {
	now := n.product.world.clock.wallTime()
	n.table.Confirm(now)
	n.ledger.Table().Confirm(now)
	if from != n && len(entries) > 0 {
		n.registry.Merge(entries)
	}
}

// updateUpstreams applies a list of upstreams and moves streams off those that are
// leaving.
func (n *node) updateUpstreams(list []fleet.Upstream) {
	now := n.product.world.clock.wallTime()
	n.list = list
	n.table.Update(now, list)
	n.ledger.Update(now, list, n.product.members)
	n.directory.Update(list, n.product.members)
	n.moveOffLeaving()
	n.reserveWaiting()
}
