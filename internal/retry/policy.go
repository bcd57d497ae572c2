package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/verdict"
)

const (
	// DefaultMaxAttempts is the maximum number of attempts, including the first.
	DefaultMaxAttempts = 4
	// DefaultBaseBackoff is the upper bound of the backoff before the first retry.
	DefaultBaseBackoff = 50 * time.Millisecond
	// DefaultMaxBackoff is the upper bound of the backoff before any retry.
	DefaultMaxBackoff = 2 * time.Second
	// DefaultRetryShare is the number of retries allowed for each first attempt.
	DefaultRetryShare = 0.1
	// DefaultReserve is how many retries can be saved.
	DefaultReserve = 20
)

// Policy decides whether and when a request is retried. It is safe for concurrent use.
type Policy struct {
	maxAttempts int
	baseBackoff time.Duration
	maxBackoff  time.Duration
	budget      *Budget

	mu     sync.Mutex
	random *rand.Rand
}

// NewPolicy returns a policy with the default limits that takes retries from budget.
func NewPolicy(budget *Budget, random *rand.Rand) *Policy {
	return &Policy{
		maxAttempts: DefaultMaxAttempts,
		baseBackoff: DefaultBaseBackoff,
		maxBackoff:  DefaultMaxBackoff,
		budget:      budget,
		random:      random,
	}
}

// Next returns the backoff before the next attempt after attempt attempts, the last of
// which ended with verdict v. It returns false if the request must not be retried;
// otherwise it takes one retry from the budget.
func (p *Policy) Next(attempt int, v verdict.Verdict, idempotent bool, now, deadline time.Time) (time.Duration, bool) {
	if v != verdict.NotRun && !idempotent {
		return 0, false
	}
	if attempt >= p.maxAttempts {
		return 0, false
	}
	pause := p.backoff(attempt)
	if !now.Add(pause).Before(deadline) {
		return 0, false
	}
	if !p.budget.Take() {
		return 0, false
	}
	return pause, true
}

// backoff returns a random backoff (full jitter) below a bound that doubles with each attempt.
func (p *Policy) backoff(attempt int) time.Duration {
	bound := p.baseBackoff
	for i := 1; i < attempt && bound < p.maxBackoff; i++ {
		bound *= 2
	}
	bound = min(bound, p.maxBackoff)
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.random.Int64N(int64(bound))) + 1
}
