package server

import (
	"math/rand/v2"
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/gateway/exchange"
	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/retry"
)

const (
	// budgetPart is the part of the allowance that is used: what nodes spend at the
	// edge of a window must not add up to more.
	budgetPart = 0.7
	// reservePart is the part of the reserve that is saved up at most, and again the
	// part that is earned within a window: one window may hold both.
	reservePart = 0.4
)

// budgets holds the retry budget of each service, this node's part of what all nodes may
// do together. It is safe for concurrent use.
type budgets struct {
	bounds site.Bounds
	// sharers returns over how many nodes the reserve is divided; 0 while that is not known.
	sharers func() int
	// full reports, once sharers is known, whether no process of the site was before this
	// one: then the reserve is saved.
	full func() bool
	now  func() time.Time
	seed func() uint64

	mu sync.Mutex
	// nodes is the most that sharers returned.
	nodes int
	all   map[string]*retry.Budget
}

func newBudgets(bounds site.Bounds, sharers func() int, full func() bool, now func() time.Time, seed func() uint64) *budgets {
	return &budgets{bounds: bounds, sharers: sharers, full: full, now: now, seed: seed, all: make(map[string]*retry.Budget)}
}

// divide divides the reserve anew and returns over how many nodes; the most that were
// ever seen count.
func (b *budgets) divide() int {
	n := b.sharers()
	b.mu.Lock()
	defer b.mu.Unlock()
	if n <= b.nodes {
		return b.nodes
	}
	first := b.nodes == 0
	b.nodes = n
	for _, budget := range b.all {
		budget.SetReserve(b.reserve())
		if first && b.full() {
			budget.FillReserve()
		}
	}
	return n
}

// reserve is this node's part; none while it does not know how many others have one.
func (b *budgets) reserve() float64 {
	if b.nodes == 0 {
		return 0
	}
	return reservePart * b.bounds.RetryReserve / float64(b.nodes)
}

func (b *budgets) of(service string) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.all[service] == nil {
		random := rand.New(rand.NewPCG(b.seed(), b.seed()))
		budget := retry.NewSharedBudget(budgetPart*b.bounds.RetryShare, b.bounds.RetryWindow, b.now, random)
		budget.SetReserve(b.reserve())
		if b.nodes > 0 && b.full() {
			budget.FillReserve()
		}
		b.all[service] = budget
	}
	return b.all[service]
}

// Attempt counts a first send to a service.
func (b *budgets) Attempt(service string) { b.of(service).Attempt() }

// Take takes one further send, if one is left.
func (b *budgets) Take(service string) exchange.Grant {
	nodes, budget := b.divide(), b.of(service)
	allowed := budget.Take()
	return exchange.Grant{Allowed: allowed, Left: budget.Remaining(), Nodes: nodes}
}
