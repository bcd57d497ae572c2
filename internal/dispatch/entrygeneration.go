package dispatch

import (
	"slices"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
)

// fork starts a new generation after the tokens received so far.
func (e *entry) fork(generation ident.Generation) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forkLocked(generation)
}

// forkLocked is fork for a caller that holds e.mu.
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
	e.notifyFollowers()
}

// restartAfter starts a new generation after the tokens that the caller sent along. It
// reports false when the request has already ended.
func (e *entry) restartAfter(position Position, generation ident.Generation) bool {
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
