package dispatch

import (
	"mangoledge.example/mangoledge/internal/engine"
)

// takeExport removes and returns the KV cache for the next upstream to import, or nil.
func (e *entry) takeExport() *engine.KVImport {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.export
	e.export = nil
	return out
}

func (e *entry) setExport(export *engine.KVImport) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.export = export
}

func (e *entry) hasExport() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.export != nil
}

// reserve keeps a placement for the next attempt and releases the one kept before.
func (e *entry) reserve(placement Placement) {
	e.mu.Lock()
	before := e.reserved
	e.reserved = placement
	e.mu.Unlock()
	if before != nil {
		before.Release(OutcomeMoved, 0)
	}
}

// takeReserved removes and returns the placement kept for this attempt, or nil.
func (e *entry) takeReserved() Placement {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := e.reserved
	e.reserved = nil
	return out
}
