package owner

import (
	"context"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/routing"
)

// Caller calls a method at another node; peer.Client is one.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Client calls the Service of other nodes. Contexts must have deadlines. After
// an error of Reserve a slot may be held until it expires; the same ID may be
// asked for again, or the caller goes on by its own choice.
type Client struct {
	caller Caller
}

// NewClient returns a client that calls by caller.
func NewClient(caller Caller) *Client {
	return &Client{caller: caller}
}

// Reserve asks the owner at address for a slot.
func (c *Client) Reserve(ctx context.Context, address string, args *ReserveArgs) (ReserveReply, error) {
	var reply ReserveReply
	err := c.caller.Call(ctx, address, MethodReserve, args, &reply)
	return reply, err
}

// Release gives a slot back to the owner at address.
func (c *Client) Release(ctx context.Context, address string, id ReservationID, out routing.Outcome) error {
	return c.caller.Call(ctx, address, MethodRelease, &ReleaseArgs{ID: id, Outcome: out}, &ReleaseReply{})
}

// Renew lets reservations of holder at address go on; it returns those that had ended.
func (c *Client) Renew(ctx context.Context, address string, holder ident.IncarnationHash, serials []uint64) ([]uint64, error) {
	var reply RenewReply
	err := c.caller.Call(ctx, address, MethodRenew, &RenewArgs{Holder: holder, Serials: serials}, &reply)
	return reply.Unknown, err
}

// Summary asks the owner at address how full its upstreams are.
func (c *Client) Summary(ctx context.Context, address string) ([]Summary, error) {
	var reply SummaryReply
	err := c.caller.Call(ctx, address, MethodSummary, &SummaryArgs{}, &reply)
	return reply.Summaries, err
}
