package owner

import (
	"context"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/peer"
	"mangoledge.example/mangoledge/internal/routing"
)

// Client calls the Service of other nodes. Contexts must have deadlines. When
// Reserve fails, the owner may still hold a slot for the ID until the reservation
// expires; the caller may retry with the same ID or choose an upstream itself.
type Client struct {
	caller peer.Caller
}

// NewClient returns a client that sends its calls through caller.
func NewClient(caller peer.Caller) *Client {
	return &Client{caller: caller}
}

// Reserve requests a slot from the owner at address.
func (c *Client) Reserve(ctx context.Context, address string, args *ReserveArgs) (ReserveReply, error) {
	return peer.CallFor[ReserveReply](ctx, c.caller, address, MethodReserve, args)
}

// Release returns a slot to the owner at address.
func (c *Client) Release(ctx context.Context, address string, id ReservationID, out routing.Outcome) error {
	_, err := peer.CallFor[ReleaseReply](ctx, c.caller, address, MethodRelease, &ReleaseArgs{ID: id, Outcome: out})
	return err
}

// Renew extends reservations of holder at the owner at address and returns the
// serials of those that have already ended.
func (c *Client) Renew(ctx context.Context, address string, holder ident.IncarnationHash, serials []uint64) ([]uint64, error) {
	reply, err := peer.CallFor[RenewReply](ctx, c.caller, address, MethodRenew, &RenewArgs{Holder: holder, Serials: serials})
	return reply.Unknown, err
}
