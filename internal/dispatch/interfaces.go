package dispatch

import (
	"context"
	"time"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/grant"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/recovery"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/routing"
	"mangoledge.example/mangoledge/internal/verdict"
)

// Witness keeps records and gives grants. An error means that the witness is
// lost or did not answer in time; one of verdict.CodeWitnessLost without a
// RetryAfter says that it never answers again.
type Witness interface {
	Claim(ctx context.Context, req *grant.ClaimRequest) (grant.ClaimReply, error)
	Grant(ctx context.Context, req *grant.Request) (grant.Reply, error)
	Void(ctx context.Context, req *grant.VoidRequest) (grant.VoidReply, error)
	// ProgressBatch reports the progress of requests that have the same witness.
	ProgressBatch(ctx context.Context, witness ident.Incarnation, reports []grant.ProgressRequest) ([]grant.ProgressAnswer, error)
	Finish(ctx context.Context, req *grant.FinishRequest) (grant.UpdateReply, error)
	Fetch(ctx context.Context, req *grant.FetchRequest) (grant.FetchReply, error)
	Cancel(ctx context.Context, req *grant.CancelRequest) (grant.FetchReply, error)
}

// Need says what a request needs of an upstream.
type Need struct {
	Spec *request.Spec
	// Blocks are the blocks of the prompt, which the router fills in when it is first asked.
	Blocks []routing.Block
	// Tokens is the number of tokens that are already there.
	Tokens int
	// Avoid are upstreams that have just failed this request.
	Avoid []ident.Upstream
	// Attempt counts the upstreams tried before.
	Attempt int
}

// Outcome tells a router how a placement ended.
type Outcome uint8

// The outcomes of a placement.
const (
	// OutcomeDone means that the request ran to its end.
	OutcomeDone Outcome = iota
	// OutcomeRefused means that the upstream did not take the request.
	OutcomeRefused
	// OutcomeFailed means that the upstream failed.
	OutcomeFailed
	// OutcomeCrashed means that the upstream has ended.
	OutcomeCrashed
	// OutcomeMoved means that the request went on elsewhere, or was cancelled.
	OutcomeMoved
)

// Placement is a place for one request at one upstream.
type Placement interface {
	// Upstream is where to send the request.
	Upstream() fleet.Upstream
	// CachedTokens is how many leading tokens of the prompt the upstream is
	// believed to have cached.
	CachedTokens() int
	// Done gives the place back; it is called once. The mean time between the
	// tokens that came from there is perToken, or 0 when it is unknown.
	Done(outcome Outcome, perToken time.Duration)
}

// Router chooses upstreams.
type Router interface {
	// Pick reserves a place. Its error is a *verdict.Error with verdict NotRun;
	// one with RetryAfter above 0 may be asked again then.
	Pick(ctx context.Context, need *Need) (Placement, error)
	// Leaving reports whether the upstream takes no new work.
	Leaving(upstream ident.Upstream) bool
	// MarkLeaving tells that the upstream said it is leaving.
	MarkLeaving(upstream ident.Upstream)
}

// Ticket is the place of an accepted request in this node's queues.
type Ticket interface {
	// Turn is closed when the request may ask for an upstream, or was shed.
	Turn() <-chan struct{}
	// Refusal returns why the request was shed, or nil; valid once Turn is closed.
	Refusal() *verdict.Error
	// LatestStart is when the request has to have a place to be likely to meet its deadline.
	LatestStart() time.Time
	// Overdue returns why a request without a place is given up now, or nil.
	Overdue() *verdict.Error
	// Placed says that the request has a place at an upstream.
	Placed()
	// Release ends the request's stay; done is true when it ran to its end.
	Release(done bool)
}

// Admission decides which requests are accepted.
type Admission interface {
	// Admit accepts a request, or refuses it with an error of verdict NotRun.
	Admit(spec *request.Spec) (Ticket, error)
}

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

// Reclaims tells when upstreams are taken away. It is asked often.
type Reclaims interface {
	// ReclaimAt returns when the upstream's host is taken away, by the platform's
	// clock; zero while nobody has said.
	ReclaimAt(upstream ident.Upstream) time.Time
}

// Recoveries counts how streams went on whose upstream left or was lost.
type Recoveries interface {
	// Recovered counts one stream that went on by method, for which about so many
	// tokens were computed again.
	Recovered(method recovery.Method, recomputed int)
}

// Journal keeps what was decided about a request, for operators.
type Journal interface {
	// Request notes one decision.
	Request(id ident.RequestID, decision, reason string)
}
