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
	// usableShare is the fraction of the allowed retry share that is used: what all nodes spend
	// around the edge of a window must not add up to more than is allowed.
	usableShare = 0.7
	// usableReserve is the largest fraction of the reserve that can be saved up, and also the
	// fraction that is earned within a window. It is below one half because one window may contain
	// both.
	usableReserve = 0.4
)

// retryBudgets holds the retry budget of each service: this node's part of what all nodes together
// may spend on retries. It is safe for concurrent use.
type retryBudgets struct {
	bounds site.Bounds
	// nodeCount returns the number of nodes that the reserve is divided among, or 0 while that is
	// unknown.
	nodeCount func() int
	// startFull reports, once nodeCount is known, whether no process of the site ran before this
	// one. The reserve is then available from the start.
	startFull func() bool
	now       func() time.Time
	seed      func() uint64

	mu sync.Mutex
	// maxNodes is the highest number that nodeCount has returned.
	maxNodes  int
	byService map[string]*retry.Budget
}

func newRetryBudgets(bounds site.Bounds, nodeCount func() int, startFull func() bool, now func() time.Time, seed func() uint64) *retryBudgets {
	return &retryBudgets{bounds: bounds, nodeCount: nodeCount, startFull: startFull, now: now, seed: seed, byService: make(map[string]*retry.Budget)}
}

// updateNodeShare recomputes this node's part of the reserve and returns the number of nodes that
// the reserve is divided among: the highest number ever seen.
func (b *retryBudgets) updateNodeShare() int {
	n := b.nodeCount()
	b.mu.Lock()
	defer b.mu.Unlock()
	if n <= b.maxNodes {
		return b.maxNodes
	}
	first := b.maxNodes == 0
	b.maxNodes = n
	for _, budget := range b.byService {
		budget.SetReserve(b.nodeReserve())
		if first && b.startFull() {
			budget.FillReserve()
		}
	}
	return n
}

// nodeReserve returns this node's part of the reserve, or 0 while the number of nodes is unknown.
func (b *retryBudgets) nodeReserve() float64 {
	if b.maxNodes == 0 {
		return 0
	}
	return usableReserve * b.bounds.RetryReserve / float64(b.maxNodes)
}

// forService returns the retry budget of a service and creates it on first use.
func (b *retryBudgets) forService(service string) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byService[service] == nil {
		random := rand.New(rand.NewPCG(b.seed(), b.seed()))
		budget := retry.NewSharedBudget(usableShare*b.bounds.RetryShare, b.bounds.RetryWindow, b.now, random)
		budget.SetReserve(b.nodeReserve())
		if b.maxNodes > 0 && b.startFull() {
			budget.FillReserve()
		}
		b.byService[service] = budget
	}
	return b.byService[service]
}

// Attempt counts the first send of a request to a service.
func (b *retryBudgets) Attempt(service string) { b.forService(service).Attempt() }

// Take takes one retry from the budget of a service if one is left.
func (b *retryBudgets) Take(service string) exchange.RetryGrant {
	nodes, budget := b.updateNodeShare(), b.forService(service)
	allowed := budget.Take()
	return exchange.RetryGrant{Allowed: allowed, Remaining: budget.Remaining(), Nodes: nodes}
}
