package dispatch

import (
	"slices"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
)

// fork begins a new generation behind the tokens that are there.
func (e *entry) fork(generation ident.Generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forkLocked(generation)
}

func (e *entry) forkLocked(generation ident.Generation) {
	forks := slices.Clone(e.record.Forks)
	for i := range forks {
		forks[i].Offset = min(forks[i].Offset, len(e.record.Tokens))
	}
	e.record.Forks = append(forks, request.Fork{Generation: e.record.Generation, Offset: len(e.record.Tokens)})
	e.record.Generation = generation
	e.record.Moves++
	e.record.Upstream = ""
	e.record.UpstreamURL = ""
	e.reported = 0
	e.wake()
}

// adopt goes on behind the tokens that the caller holds. It reports false when
// the request has already ended.
func (e *entry) adopt(position Position, generation ident.Generation) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.record.Phase.Final() {
		return false
	}
	e.record.Tokens = slices.Clone(position.Received)
	e.record.Generation = position.Generation
	e.record.Forks = nil
	e.forkLocked(generation)
	return true
}
