package poison

import (
	"context"
)

// Caller calls a method at another node; peer.Client is one.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Client calls the Service of other nodes. When a coordinator can't be reached
// the caller asks its own gate instead.
type Client struct {
	caller Caller
}

// NewClient returns a client that calls by caller.
func NewClient(caller Caller) *Client {
	return &Client{caller: caller}
}

// Acquire asks the coordinator at address.
func (c *Client) Acquire(ctx context.Context, address string, args *AcquireArgs) (AcquireReply, error) {
	var reply AcquireReply
	err := c.caller.Call(ctx, address, MethodAcquire, args, &reply)
	return reply, err
}

// Release gives a pass back to the coordinator at address.
func (c *Client) Release(ctx context.Context, address string, args *ReleaseArgs) error {
	return c.caller.Call(ctx, address, MethodRelease, args, &ReleaseReply{})
}
