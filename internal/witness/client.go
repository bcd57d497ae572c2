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
	// attempts is how often a call is made; every call may be repeated without harm.
	attempts = 2
	// maxSuccessors bounds the chain of hand-overs that is followed.
	maxSuccessors = 32
)

var (
	// errGone is the cause when no member is left that could hold a table. It is
	// final: an incarnation that is dead or has left never comes back.
	errGone = errors.New("it is gone, and no member has its table")
	// errNotKnown is the cause when a member that may hold a table is not known here.
	errNotKnown = errors.New("no such member is known here")
	// errForeign is the cause when the member that holds a table speaks another protocol than this node.
	errForeign = errors.New("it is of another release, and this node can't ask it")
)

// Client asks witnesses, wherever their tables are now.
//
// Its errors are *verdict.Error; verdict.CodeWitnessLost with MayHaveRun means
// that the call may or may not have taken effect. Its RetryAfter is 0 when the
// witness never answers again.
type Client struct {
	peers peer.Caller
	view  membership.View
	local *Service
}

// NewClient returns a client that finds witnesses by view and asks local without a call.
func NewClient(peers peer.Caller, view membership.View, local *Service) *Client {
	return &Client{peers: peers, view: view, local: local}
}

// Claim asks to become the holder of a request. See grant.Table.Claim.
func (c *Client) Claim(ctx context.Context, req *grant.ClaimRequest) (grant.ClaimReply, error) {
	return ask(ctx, c, req.ID.Witness, "Claim", req, c.local.Claim)
}

// Grant asks for the right to run a non-idempotent request. See grant.Table.Grant.
func (c *Client) Grant(ctx context.Context, req *grant.Request) (grant.Reply, error) {
	return ask(ctx, c, req.ID.Witness, "Grant", req, c.local.Grant)
}

// Void asks for the right to say "not run". See grant.Table.Void.
func (c *Client) Void(ctx context.Context, req *grant.VoidRequest) (grant.VoidReply, error) {
	return ask(ctx, c, req.ID.Witness, "Void", req, c.local.Void)
}

// Progress reports tokens and the place of a running request. See grant.Table.Progress.
func (c *Client) Progress(ctx context.Context, req *grant.ProgressRequest) (grant.UpdateReply, error) {
	return ask(ctx, c, req.ID.Witness, "Progress", req, c.local.Progress)
}

// Finish reports the final state of a request. See grant.Table.Finish.
func (c *Client) Finish(ctx context.Context, req *grant.FinishRequest) (grant.UpdateReply, error) {
	return ask(ctx, c, req.ID.Witness, "Finish", req, c.local.Finish)
}

// Fetch asks what is known of a request. See grant.Table.Fetch.
func (c *Client) Fetch(ctx context.Context, req *grant.FetchRequest) (grant.FetchReply, error) {
	return ask(ctx, c, req.ID.Witness, "Fetch", req, c.local.Fetch)
}

// Cancel records that the caller wants no answer any more. See grant.Table.Cancel.
func (c *Client) Cancel(ctx context.Context, req *grant.CancelRequest) (grant.FetchReply, error) {
	return ask(ctx, c, req.ID.Witness, "Cancel", req, c.local.Cancel)
}

// place returns the member that holds the table of witness now. Its error is
// errGone when there is none and never will be, and errForeign when the one that
// holds it can't be asked from here.
func (c *Client) place(witness ident.Incarnation) (membership.Member, error) {
	at := witness
	for range maxSuccessors {
		member, ok := c.view.Lookup(at)
		if !ok {
			return membership.Member{}, errNotKnown
		}
		if member.Successor != "" {
			at = member.Successor
			continue
		}
		if member.State == membership.StateDead || member.State == membership.StateLeft {
			return membership.Member{}, errGone
		}
		if member.Foreign {
			return membership.Member{}, errForeign
		}
		return member, nil
	}
	return membership.Member{}, errNotKnown
}

// ask makes one call to the place of witness, and once more when nobody answered.
func ask[Q, R any](ctx context.Context, c *Client, witness ident.Incarnation, method string, req *Q, local func(context.Context, *Q) (R, error)) (R, error) {
	var none R
	var last error
	for range attempts {
		place, err := c.place(witness)
		if errors.Is(err, errGone) {
			return none, gone(witness)
		}
		if err != nil {
			return none, lost(witness, err)
		}
		reply, err := askAt(ctx, c, place, method, req, local)
		if err == nil {
			return reply, nil
		}
		if !worthRetry(err) {
			return none, err
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	return none, lost(witness, last)
}

func askAt[Q, R any](ctx context.Context, c *Client, place membership.Member, method string, req *Q, local func(context.Context, *Q) (R, error)) (R, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if place.Incarnation == c.view.Self().Incarnation {
		return local(ctx, req)
	}
	var reply R
	err := c.peers.Call(ctx, place.PeerAddress, serviceName+"."+method, req, &reply)
	return reply, err
}

// worthRetry reports whether err is anything but the answer of the table.
func worthRetry(err error) bool {
	var refusal *verdict.Error
	if !errors.As(err, &refusal) {
		return true
	}
	return refusal.Code == verdict.CodeWitnessLost
}
