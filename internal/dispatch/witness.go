package dispatch

import (
	"context"

	"mangoledge.example/mangoledge/internal/grant"
	"mangoledge.example/mangoledge/internal/ident"
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
