package dispatch

import (
	"context"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
)

// Ending tells a Guard how a run of a request's content ended.
type Ending uint8

// The endings of a run.
const (
	// EndingOther says nothing about the content.
	EndingOther Ending = iota
	// EndingFinished means that the run completed.
	EndingFinished
	// EndingCrashed means that the upstream crashed while it ran the content.
	EndingCrashed
)

// Pass is the permission for one run of a request's content.
type Pass interface {
	// Release returns the pass and reports how the run ended; it is called once. upstream
	// is empty when the content was sent to none.
	Release(upstream ident.Upstream, ending Ending)
}

// Guard prevents repeated runs of content that crashes upstreams.
type Guard interface {
	// Check returns an error with verdict NotRun for content known to crash upstreams.
	Check(spec *request.Spec) error
	// Acquire returns the permission to run the content. Its error is a *verdict.Error
	// with verdict NotRun; with RetryAfter above 0, the call may be repeated after it.
	Acquire(ctx context.Context, spec *request.Spec) (Pass, error)
}
