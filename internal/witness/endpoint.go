package witness

import (
	"context"
	"time"

	"mangoledge.example/mangoledge/internal/grant"
	"mangoledge.example/mangoledge/internal/peer"
)

// endpointTimeout bounds the handling of one call from another node.
const endpointTimeout = time.Second

// endpoint exposes a Service through net/rpc.
type endpoint struct {
	service *Service
}

// serveRPC runs one method with a deadline and encodes its error for the caller.
func serveRPC[Q, R any](req *Q, reply *R, method func(context.Context, *Q) (R, error)) error {
	ctx, cancel := context.WithTimeout(context.Background(), endpointTimeout)
	defer cancel()
	out, err := method(ctx, req)
	if err != nil {
		return peer.EncodeError(err)
	}
	*reply = out
	return nil
}

// Claim serves a claim from another node.
func (e *endpoint) Claim(req *grant.ClaimRequest, reply *grant.ClaimReply) error {
	err := serveRPC(req, reply, e.service.Claim)
	reply.OmitInput(req)
	return err
}

// Grant serves a request for a grant from another node.
func (e *endpoint) Grant(req *grant.Request, reply *grant.Reply) error {
	return serveRPC(req, reply, e.service.Grant)
}

// Void serves a request to void from another node.
func (e *endpoint) Void(req *grant.VoidRequest, reply *grant.VoidReply) error {
	return serveRPC(req, reply, e.service.Void)
}

// Progress serves a progress report from another node.
func (e *endpoint) Progress(req *grant.ProgressRequest, reply *grant.UpdateReply) error {
	return serveRPC(req, reply, e.service.Progress)
}

// Finish serves a final report from another node.
func (e *endpoint) Finish(req *grant.FinishRequest, reply *grant.UpdateReply) error {
	return serveRPC(req, reply, e.service.Finish)
}

// Fetch serves a record to another node.
func (e *endpoint) Fetch(req *grant.FetchRequest, reply *grant.FetchReply) error {
	return serveRPC(req, reply, e.service.Fetch)
}

// Cancel serves a cancellation from another node.
func (e *endpoint) Cancel(req *grant.CancelRequest, reply *grant.FetchReply) error {
	return serveRPC(req, reply, e.service.Cancel)
}

// Offer serves the offer of a table from a predecessor.
func (e *endpoint) Offer(req *OfferRequest, reply *Ack) error {
	return serveRPC(req, reply, e.service.offer)
}

// Chunk receives one part of a predecessor's table.
func (e *endpoint) Chunk(req *ChunkRequest, reply *Ack) error {
	return serveRPC(req, reply, e.service.chunk)
}

// Install installs a predecessor's table after all its parts were received.
func (e *endpoint) Install(req *InstallRequest, reply *Ack) error {
	return serveRPC(req, reply, e.service.install)
}
