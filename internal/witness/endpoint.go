package witness

import (
	"context"
	"time"

	"mangoledge.example/mangoledge/internal/grant"
	"mangoledge.example/mangoledge/internal/peer"
)

// endpointTimeout bounds one call of another node.
const endpointTimeout = time.Second

// endpoint offers a Service through net/rpc.
type endpoint struct {
	service *Service
}

// answer runs one method with a deadline and readies its error for the way back.
func answer[Q, R any](req *Q, reply *R, method func(context.Context, *Q) (R, error)) error {
	ctx, cancel := context.WithTimeout(context.Background(), endpointTimeout)
	defer cancel()
	out, err := method(ctx, req)
	if err != nil {
		return peer.EncodeError(err)
	}
	*reply = out
	return nil
}

// Claim answers another node's claim.
func (e *endpoint) Claim(req *grant.ClaimRequest, reply *grant.ClaimReply) error {
	return answer(req, reply, e.service.Claim)
}

// Grant answers another node's request for a grant.
func (e *endpoint) Grant(req *grant.Request, reply *grant.Reply) error {
	return answer(req, reply, e.service.Grant)
}

// Void answers another node that wants to say "not run".
func (e *endpoint) Void(req *grant.VoidRequest, reply *grant.VoidReply) error {
	return answer(req, reply, e.service.Void)
}

// Progress answers another node's report of progress.
func (e *endpoint) Progress(req *grant.ProgressRequest, reply *grant.UpdateReply) error {
	return answer(req, reply, e.service.Progress)
}

// Finish answers another node's final report.
func (e *endpoint) Finish(req *grant.FinishRequest, reply *grant.UpdateReply) error {
	return answer(req, reply, e.service.Finish)
}

// Fetch answers another node's question.
func (e *endpoint) Fetch(req *grant.FetchRequest, reply *grant.FetchReply) error {
	return answer(req, reply, e.service.Fetch)
}

// Cancel answers another node's cancel.
func (e *endpoint) Cancel(req *grant.CancelRequest, reply *grant.FetchReply) error {
	return answer(req, reply, e.service.Cancel)
}

// Offer answers a node that wants to hand its table over.
func (e *endpoint) Offer(req *OfferRequest, reply *Ack) error {
	return answer(req, reply, e.service.offer)
}

// Chunk takes a part of a table.
func (e *endpoint) Chunk(req *ChunkRequest, reply *Ack) error {
	return answer(req, reply, e.service.chunk)
}

// Install makes a table answer.
func (e *endpoint) Install(req *InstallRequest, reply *Ack) error {
	return answer(req, reply, e.service.install)
}
