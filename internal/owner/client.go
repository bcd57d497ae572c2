package owner

import (
	"context"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/peer"
	"mangoledge.example/mangoledge/internal/routing"
)

// Client calls the Service of other nodes. Contexts must have deadlines. After
// an error of Reserve a slot may be held until it expires; the same ID may be
// asked for again, or the caller goes on by its own choice.
type Client struct {
	caller peer.Caller
}

// NewClient returns a client that calls by caller.
func NewClient(caller peer.Caller) *Client {
	return &Client{caller: caller}
}

// Reserve asks the owner at address for a slot.
func (c *Client) Reserve(ctx context.Context, address string, args *ReserveArgs) (ReserveReply, error) {
	return peer.Ask[ReserveReply](ctx, c.caller, address, MethodReserve, args)
}

// Release gives a slot back to the owner at address.
func (c *Client) Release(ctx context.Context, address string, id ReservationID, out routing.Outcome) error {
	_, err := peer.Ask[ReleaseReply](ctx, c.caller, address, MethodRelease, &ReleaseArgs{ID: id, Outcome: out})
	return err
}

// Renew lets reservations of holder at address go on; it returns those that had ended.
func (c *Client) Renew(ctx context.Context, address string, holder ident.IncarnationHash, serials []uint64) ([]uint64, error) {
	reply, err := peer.Ask[RenewReply](ctx, c.caller, address, MethodRenew, &RenewArgs{Holder: holder, Serials: serials})
	return reply.Unknown, err
}
