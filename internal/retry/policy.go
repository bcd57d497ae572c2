package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/verdict"
)

const (
	// DefaultMaxAttempts is how often a request is sent at most, the first time included.
	DefaultMaxAttempts = 4
	// DefaultBase is the longest pause before the first retry.
	DefaultBase = 50 * time.Millisecond
	// DefaultCap is the longest pause before any retry.
	DefaultCap = 2 * time.Second
	// DefaultShare is the retries allowed for each first attempt.
	DefaultShare = 0.1
	// DefaultReserve is how many retries can be saved up.
	DefaultReserve = 20
)

// Policy says whether and when a request is tried again. It is safe for concurrent use.
type Policy struct {
	// maxAttempts, base and cap bound attempts and pauses.
	maxAttempts int
	base        time.Duration
	cap         time.Duration
	budget      *Budget

	mu     sync.Mutex
	random *rand.Rand
}

// NewPolicy returns a policy with the default bounds that takes retries out of budget.
func NewPolicy(budget *Budget, random *rand.Rand) *Policy {
	return &Policy{
		maxAttempts: DefaultMaxAttempts,
		base:        DefaultBase,
		cap:         DefaultCap,
		budget:      budget,
		random:      random,
	}
}

// Next returns the pause before the next attempt after attempt attempts ended
// with v, or false when there must be none. When it says yes, one retry is
// taken out of the budget.
func (p *Policy) Next(attempt int, v verdict.Verdict, idempotent bool, now, deadline time.Time) (time.Duration, bool) {
	if v != verdict.NotRun && !idempotent {
		return 0, false
	}
	if attempt >= p.maxAttempts {
		return 0, false
	}
	pause := p.pause(attempt)
	if !now.Add(pause).Before(deadline) {
		return 0, false
	}
	if !p.budget.Take() {
		return 0, false
	}
	return pause, true
}

// pause returns a random pause up to a bound that doubles with each attempt.
func (p *Policy) pause(attempt int) time.Duration {
	bound := p.base
	for i := 1; i < attempt && bound < p.cap; i++ {
		bound *= 2
	}
	bound = min(bound, p.cap)
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.random.Int64N(int64(bound))) + 1
}
