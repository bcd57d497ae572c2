package dispatch

import (
	"context"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
)

// Ending tells a guard how a run of a content ended.
type Ending uint8

// The endings of a run.
const (
	// EndingOther says nothing about the content.
	EndingOther Ending = iota
	// EndingFinished means that the content ran to its end.
	EndingFinished
	// EndingCrashed means that the upstream died while it ran the content.
	EndingCrashed
)

// Pass lets one run of a content through.
type Pass interface {
	// Leave gives the pass back; it is called once.
	Leave(upstream ident.Upstream, ending Ending)
}

// Guard keeps contents that crash upstreams from running again and again.
type Guard interface {
	// Check refuses a content that is known to crash upstreams, with verdict NotRun.
	Check(spec *request.Spec) error
	// Enter lets a content run. Its error is a *verdict.Error with verdict NotRun;
	// one with RetryAfter above 0 may be asked again then.
	Enter(ctx context.Context, spec *request.Spec) (Pass, error)
}
