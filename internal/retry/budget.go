package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Budget bounds retries to a share of the first attempts and a reserve. It is safe for
// concurrent use.
type Budget struct {
	share float64
	// window is in what time the reserve is earned; 0 for one that is saved from the start.
	window time.Duration
	now    func() time.Time

	mu      sync.Mutex
	random  *rand.Rand
	reserve float64
	tokens  float64
	earned  time.Time
	first   uint64
	retries uint64
	refused uint64
}

// NewBudget returns a budget that allows share retries for each first attempt
// and saves up at most reserve of them; it begins with reserve saved.
func NewBudget(share float64, reserve int) *Budget {
	return &Budget{share: share, reserve: float64(reserve), tokens: float64(reserve)}
}

// NewShared returns one of many budgets that bound what processes on many nodes do
// together, however often each starts anew: it begins with nothing saved, has no reserve
// until SetReserve, and earns that once in each window beside its share.
func NewShared(share float64, window time.Duration, now func() time.Time, random *rand.Rand) *Budget {
	return &Budget{share: share, window: window, now: now, random: random, earned: now()}
}

// Fill saves the whole reserve: for processes before which there were none.
func (b *Budget) Fill() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = b.reserve
}

// SetReserve changes how many retries can be saved up; those saved beyond it are lost.
func (b *Budget) SetReserve(reserve float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earn()
	b.reserve = reserve
	b.tokens = min(b.tokens, reserve)
}

// earn adds what the time since the last call earned.
func (b *Budget) earn() {
	if b.window <= 0 {
		return
	}
	now := b.now()
	elapsed := max(0, now.Sub(b.earned))
	b.earned = now
	b.tokens = min(b.tokens+b.reserve*elapsed.Seconds()/b.window.Seconds(), b.reserve)
}

// Attempt counts a first attempt.
func (b *Budget) Attempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.first++
	b.tokens = min(b.tokens+b.share, b.reserve)
}

// Take takes one retry out of the budget; it is false when none is left.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earn()
	if !b.draw() {
		b.refused++
		return false
	}
	b.retries++
	return true
}

// draw takes one token. A shared budget that can never save a whole one bets what it has:
// over all nodes that allows as many retries as there are tokens.
func (b *Budget) draw() bool {
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

// Left returns how many retries are left; a part of one cannot be taken.
func (b *Budget) Left() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earn()
	return b.tokens
}

// Usage is what a budget was used for; its figures only grow.
type Usage struct {
	First   uint64
	Retries uint64
	// Refused counts retries that the budget did not allow.
	Refused uint64
}

// Usage returns the figures so far.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{First: b.first, Retries: b.retries, Refused: b.refused}
}
