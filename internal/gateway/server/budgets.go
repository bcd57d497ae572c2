package server

import (
	"sync"

	"mangoledge.example/mangoledge/internal/gateway/exchange"
	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/retry"
)

const (
	// budgetPart is the part of the allowance that is used: what nodes spend at the
	// edge of a window must not add up to more.
	budgetPart = 0.7
	// reservePart is the same for the reserve: a process that starts anew has its own again.
	reservePart = 0.4
	// leastNodes is how many nodes share the reserve before others were heard.
	leastNodes = 8
)

// budgets holds the retry budget of each service. It is safe for concurrent use.
type budgets struct {
	bounds site.Bounds

	mu    sync.Mutex
	nodes int
	all   map[string]*retry.Budget
}

func newBudgets(bounds site.Bounds) *budgets {
	return &budgets{bounds: bounds, nodes: leastNodes, all: make(map[string]*retry.Budget)}
}

// setNodes notes how many nodes share the reserve; the most that were ever seen count.
func (b *budgets) setNodes(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n <= b.nodes {
		return
	}
	b.nodes = n
	for _, budget := range b.all {
		budget.SetReserve(b.reserve())
	}
}

func (b *budgets) reserve() float64 {
	return reservePart * b.bounds.RetryReserve / float64(b.nodes)
}

func (b *budgets) of(service string) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.all[service] == nil {
		budget := retry.NewBudget(budgetPart*b.bounds.RetryShare, int(b.reserve()))
		budget.SetReserve(b.reserve())
		b.all[service] = budget
	}
	return b.all[service]
}

// Attempt counts a first send to a service.
func (b *budgets) Attempt(service string) { b.of(service).Attempt() }

// Take takes one further send, if one is left.
func (b *budgets) Take(service string) exchange.Grant {
	budget := b.of(service)
	allowed := budget.Take()
	return exchange.Grant{Allowed: allowed, Left: budget.Left(), Nodes: b.sharers()}
}

// sharers returns over how many nodes the reserve is divided.
func (b *budgets) sharers() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.nodes
}
