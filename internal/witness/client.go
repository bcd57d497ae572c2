package witness

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/grant"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/peer"
	"mangoledge.example/mangoledge/internal/verdict"
)

const (
	// callTimeout bounds one call to a witness.
	callTimeout = 400 * time.Millisecond
	// maxAttempts bounds the attempts of a call; every call is idempotent.
	maxAttempts = 2
	// maxSuccessors bounds the chain of successors that is followed to find a table.
	maxSuccessors = 32
)

var (
	// errTableGone means that no remaining member can hold the table. It is final: an
	// incarnation that is dead or has left never rejoins.
	errTableGone = errors.New("it is gone, and no member has its table")
	// errUnknownMember means that this node does not know the member that may hold the table.
	errUnknownMember = errors.New("no such member is known here")
	// errOtherProtocol means that the member that holds the table speaks a protocol
	// other than this node's.
	errOtherProtocol = errors.New("it is of another release, and this node can't ask it")
)

// Client calls witnesses at the members that hold their tables now.
//
// Its errors are *verdict.Error; verdict.CodeWitnessLost with MayHaveRun means
// that the call may or may not have taken effect. RetryAfter is then 0 if the
// witness will never answer again.
type Client struct {
	peers peer.Caller
	view  membership.View
	local *Service
}

// NewClient returns a client that locates witnesses by view and calls local directly,
// without the network.
func NewClient(peers peer.Caller, view membership.View, local *Service) *Client {
	return &Client{peers: peers, view: view, local: local}
}

// Claim asks to become the holder of a request. See grant.Table.Claim.
func (c *Client) Claim(ctx context.Context, req *grant.ClaimRequest) (grant.ClaimReply, error) {
	sent := *req
	sent.OmitInput = true
	reply, err := callWitness(ctx, c, req.ID.Witness, "Claim", &sent, c.local.Claim)
	reply.RestoreInput(req)
	return reply, err
}

// Grant asks for the right to run a non-idempotent request. See grant.Table.Grant.
func (c *Client) Grant(ctx context.Context, req *grant.Request) (grant.Reply, error) {
	return callWitness(ctx, c, req.ID.Witness, "Grant", req, c.local.Grant)
}

// Void asks to void a request, so that the caller can be told "not run". See grant.Table.Void.
func (c *Client) Void(ctx context.Context, req *grant.VoidRequest) (grant.VoidReply, error) {
	return callWitness(ctx, c, req.ID.Witness, "Void", req, c.local.Void)
}

// Progress reports the tokens and the upstream of a running request. See grant.Table.Progress.
func (c *Client) Progress(ctx context.Context, req *grant.ProgressRequest) (grant.UpdateReply, error) {
	return callWitness(ctx, c, req.ID.Witness, "Progress", req, c.local.Progress)
}

// Finish reports the final state of a request. See grant.Table.Finish.
func (c *Client) Finish(ctx context.Context, req *grant.FinishRequest) (grant.UpdateReply, error) {
	return callWitness(ctx, c, req.ID.Witness, "Finish", req, c.local.Finish)
}

// Fetch asks for the record of a request. See grant.Table.Fetch.
func (c *Client) Fetch(ctx context.Context, req *grant.FetchRequest) (grant.FetchReply, error) {
	return callWitness(ctx, c, req.ID.Witness, "Fetch", req, c.local.Fetch)
}

// Cancel records that the caller has cancelled the request. See grant.Table.Cancel.
func (c *Client) Cancel(ctx context.Context, req *grant.CancelRequest) (grant.FetchReply, error) {
	return callWitness(ctx, c, req.ID.Witness, "Cancel", req, c.local.Cancel)
}

// locate returns the member that holds the table of witness now. It returns
// errTableGone if there is none and never will be, and errOtherProtocol if this node
// can't call the member that holds the table.
func (c *Client) locate(witness ident.Incarnation) (membership.Member, error) {
	incarnation := witness
	for range maxSuccessors {
		member, ok := c.view.Lookup(incarnation)
		if !ok {
			return membership.Member{}, errUnknownMember
		}
		if member.Successor != "" {
			incarnation = member.Successor
			continue
		}
		if member.State == membership.StateDead || member.State == membership.StateLeft {
			return membership.Member{}, errTableGone
		}
		if member.Foreign {
			return membership.Member{}, errOtherProtocol
		}
		return member, nil
	}
	return membership.Member{}, errUnknownMember
}

// callWitness calls a method at the member that holds the table of witness, and
// retries it if the table did not answer.
func callWitness[Q, R any](ctx context.Context, c *Client, witness ident.Incarnation, method string, req *Q, local func(context.Context, *Q) (R, error)) (R, error) {
	var zero R
	var lastErr error
	for range maxAttempts {
		member, err := c.locate(witness)
		if errors.Is(err, errTableGone) {
			return zero, witnessGone(witness)
		}
		if err != nil {
			return zero, witnessUnreachable(witness, err)
		}
		reply, err := callMember(ctx, c, member, method, req, local)
		if err == nil {
			return reply, nil
		}
		if !isRetryable(err) {
			return zero, err
		}
		lastErr = err
		if ctx.Err() != nil {
			break
		}
	}
	return zero, witnessUnreachable(witness, lastErr)
}

// callMember makes one attempt of a call to a member, which may be this node.
func callMember[Q, R any](ctx context.Context, c *Client, member membership.Member, method string, req *Q, local func(context.Context, *Q) (R, error)) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if member.Incarnation == c.view.Self().Incarnation {
		return local(ctx, req)
	}
	var reply R
	err := c.peers.Call(ctx, member.PeerAddress, serviceName+"."+method, req, &reply)
	return reply, err
}

// isRetryable reports whether err is something other than a refusal by the table.
func isRetryable(err error) bool {
	var refusal *verdict.Error
	if !errors.As(err, &refusal) {
		return true
	}
	return refusal.Code == verdict.CodeWitnessLost
}
