package retry

import "sync"

// Budget bounds retries to a share of the first attempts. It is safe for concurrent use.
type Budget struct {
	share   float64
	reserve float64

	mu      sync.Mutex
	tokens  float64
	first   uint64
	retries uint64
	refused uint64
}

// NewBudget returns a budget that allows share retries for each first attempt
// and saves up at most reserve of them; it begins with reserve saved.
func NewBudget(share float64, reserve int) *Budget {
	return &Budget{share: share, reserve: float64(reserve), tokens: float64(reserve)}
}

// SetReserve changes how many retries can be saved up; those saved beyond it are lost.
func (b *Budget) SetReserve(reserve float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserve = reserve
	b.tokens = min(b.tokens, reserve)
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
	if b.tokens < 1 {
		b.refused++
		return false
	}
	b.tokens--
	b.retries++
	return true
}

// Left returns how many retries are left; a part of one cannot be taken.
func (b *Budget) Left() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
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
