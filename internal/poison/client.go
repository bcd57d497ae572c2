package poison

import (
	"context"

	"mangoledge.example/mangoledge/internal/peer"
)

// Client calls the Service of other nodes. If a coordinator is unreachable, the caller
// uses its own gate instead.
type Client struct {
	caller peer.Caller
}

// NewClient returns a client that uses caller.
func NewClient(caller peer.Caller) *Client {
	return &Client{caller: caller}
}

// Acquire requests a pass from the coordinator at address.
func (c *Client) Acquire(ctx context.Context, address string, args *AcquireArgs) (AcquireReply, error) {
	return peer.CallFor[AcquireReply](ctx, c.caller, address, MethodAcquire, args)
}

// Release returns a pass to the coordinator at address.
func (c *Client) Release(ctx context.Context, address string, args *ReleaseArgs) error {
	_, err := peer.CallFor[ReleaseReply](ctx, c.caller, address, MethodRelease, args)
	return err
}
