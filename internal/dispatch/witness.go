package dispatch

import (
	"context"

	"mangoledge.example/mangoledge/internal/grant"
	"mangoledge.example/mangoledge/internal/ident"
)

// Witness stores request records and grants the right to run requests. An error means
// that the witness is lost or did not answer in time; one with verdict.CodeWitnessLost
// and no RetryAfter means that it will never answer again.
type Witness interface {
	Claim(ctx context.Context, req *grant.ClaimRequest) (grant.ClaimReply, error)
	Grant(ctx context.Context, req *grant.Request) (grant.Reply, error)
	Void(ctx context.Context, req *grant.VoidRequest) (grant.VoidReply, error)
	// ProgressBatch reports the progress of requests with the same witness.
	ProgressBatch(ctx context.Context, witness ident.Incarnation, reports []grant.ProgressRequest) ([]grant.ProgressAnswer, error)
	Finish(ctx context.Context, req *grant.FinishRequest) (grant.UpdateReply, error)
	Fetch(ctx context.Context, req *grant.FetchRequest) (grant.FetchReply, error)
	Cancel(ctx context.Context, req *grant.CancelRequest) (grant.FetchReply, error)
}
