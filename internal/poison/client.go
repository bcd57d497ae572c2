package poison

import (
	"context"

	"mangoledge.example/mangoledge/internal/peer"
)

// Client calls the Service of other nodes. When a coordinator can't be reached
// the caller asks its own gate instead.
type Client struct {
	caller peer.Caller
}

// NewClient returns a client that calls by caller.
func NewClient(caller peer.Caller) *Client {
	return &Client{caller: caller}
}

// Acquire asks the coordinator at address.
func (c *Client) Acquire(ctx context.Context, address string, args *AcquireArgs) (AcquireReply, error) {
	return peer.Ask[AcquireReply](ctx, c.caller, address, MethodAcquire, args)
}

// Release gives a pass back to the coordinator at address.
func (c *Client) Release(ctx context.Context, address string, args *ReleaseArgs) error {
	_, err := peer.Ask[ReleaseReply](ctx, c.caller, address, MethodRelease, args)
	return err
}
