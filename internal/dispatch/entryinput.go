package dispatch

import (
	"crypto/sha256"

	"mangoledge.example/mangoledge/internal/request"
)

// retain keeps the memory of the input charged until the entry drops it; nil is ignored.
func (e *entry) retain(memory Memory) {
	if memory != nil {
		memory.Retain()
		e.memory = memory
	}
}

// dropInput lets go of the input of an entry that no worker runs any more, and of its memory. A digest
// remains, to recognize resends.
func (e *entry) dropInput() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.inputDropped {
		return
	}
	e.inputDigest = sha256.Sum256([]byte(e.spec.Input))
	e.inputDropped = true
	e.spec.Input, e.record.Spec.Input = "", ""
	if e.memory != nil {
		e.memory.Release()
		e.memory = nil
	}
}

// sameWork reports whether a spec describes the same work as the entry's; fields such as deadline, priority
// and token limit may differ.
func (e *entry) sameWork(other *request.Spec) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := &e.spec
	if s.Model != other.Model || s.Service != other.Service || s.Kind != other.Kind || s.Adapter != other.Adapter || s.Idempotent != other.Idempotent {
		return false
	}
	if e.inputDropped {
		return e.inputDigest == sha256.Sum256([]byte(other.Input))
	}
	return s.Input == other.Input
}
