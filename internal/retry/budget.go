package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Budget limits retries to a fraction of the first attempts plus a reserve. It is safe
// for concurrent use.
type Budget struct {
	share float64
	// window is the time in which a shared budget accrues its whole reserve; 0 for a budget
	// that starts with a full reserve and does not accrue by time.
	window time.Duration
	now    func() time.Time

	mu            sync.Mutex
	random        *rand.Rand
	reserve       float64
	tokens        float64
	accruedAt     time.Time
	firstAttempts uint64
	retries       uint64
	refused       uint64
}

// NewBudget returns a budget that allows share retries for each first attempt and saves
// at most reserve of them. It starts with a full reserve.
func NewBudget(share float64, reserve int) *Budget {
	return &Budget{share: share, reserve: float64(reserve), tokens: float64(reserve)}
}

// NewSharedBudget returns a budget that is one of many on different nodes, which together bound
// the retries of all nodes, however often their processes restart. It therefore starts
// empty and has no reserve until SetReserve. In addition to its share it accrues the
// reserve once per window.
func NewSharedBudget(share float64, window time.Duration, now func() time.Time, random *rand.Rand) *Budget {
	return &Budget{share: share, window: window, now: now, random: random, accruedAt: now()}
}

// FillReserve sets the budget to its full reserve. It is for the first start of a site, when no
// earlier process can have used the reserve.
func (b *Budget) FillReserve() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = b.reserve
}

// SetReserve changes how many retries can be saved; saved retries beyond that are lost.
func (b *Budget) SetReserve(reserve float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accrue()
	b.reserve = reserve
	b.tokens = min(b.tokens, reserve)
}

// accrue adds the retries earned by the time since the last call.
func (b *Budget) accrue() {
	if b.window <= 0 {
		return
	}
	now := b.now()
	elapsed := max(0, now.Sub(b.accruedAt))
	b.accruedAt = now
	b.tokens = min(b.tokens+b.reserve*elapsed.Seconds()/b.window.Seconds(), b.reserve)
}

// Attempt counts a first attempt.
func (b *Budget) Attempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.firstAttempts++
	b.tokens = min(b.tokens+b.share, b.reserve)
}

// Take takes one retry from the budget. It returns false if none is left.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accrue()
	if !b.takeToken() {
		b.refused++
		return false
	}
	b.retries++
	return true
}

// takeToken takes one token. A shared budget whose reserve is less than one could never
// save a whole token, so it allows a retry with a probability equal to the tokens it has
// and then loses them. Over all nodes this allows as many retries as there are tokens.
func (b *Budget) takeToken() bool {
	if b.window > 0 && b.reserve < 1 {
		won := b.random.Float64() < b.tokens
		b.tokens = 0
		return won
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Remaining returns how many retries are left. A fraction of a retry can't be taken.
func (b *Budget) Remaining() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accrue()
	return b.tokens
}

// Usage counts the use of a budget; the counts never decrease.
type Usage struct {
	// First is the number of first attempts.
	First uint64
	// Retries is the number of retries that the budget allowed.
	Retries uint64
	// Refused is the number of calls of Take that got no retry. A caller that asks again
	// for the same retry is counted again.
	Refused uint64
}

// Usage returns the counts so far.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{First: b.firstAttempts, Retries: b.retries, Refused: b.refused}
}
