package request

import (
	"sync"
	"sync/atomic"

	"mangoledge.example/mangoledge/internal/ident"
)

// KeptAnswers bounds the memory of the answers that a store of finished requests keeps for resends. Its
// functions are set before it is used. It is safe for concurrent use.
type KeptAnswers struct {
	// Limit is how many bytes the answers may take; 0 means no limit.
	Limit int64
	// List returns the answers in the store.
	List func() []Kept
	// Drop removes one from it.
	Drop func(ident.RequestID)

	// bytes is at least what the answers take that were added.
	bytes atomic.Int64
	// trimming is held while the store is trimmed.
	trimming sync.Mutex
}

// Add counts an answer of n bytes that was added to the store, and trims the store beyond the limit.
func (k *KeptAnswers) Add(n int64) {
	if k.bytes.Add(n) > k.Limit {
		k.Trim()
	}
}

// Trim counts the answers anew, and drops the oldest ones beyond the limit. It does nothing while the store
// is being trimmed.
func (k *KeptAnswers) Trim() {
	if k.Limit <= 0 || !k.trimming.TryLock() {
		return
	}
	defer k.trimming.Unlock()
	before := k.bytes.Load()
	dropped, rest := Oldest(k.List(), k.Limit)
	for i := range dropped {
		k.Drop(dropped[i].ID)
	}
	k.bytes.Add(rest - before) // what was added meanwhile may count twice until the next time
}
