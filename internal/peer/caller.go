package peer

import "context"

// Caller calls methods at other nodes; *Client implements it.
type Caller interface {
	// Call calls method at address. See Client.Call for its errors.
	Call(ctx context.Context, address, method string, args, reply any) error
}

// CallFor calls method at address through caller and returns a reply of type R. See
// Client.Call for its errors.
func CallFor[R any](ctx context.Context, caller Caller, address, method string, args any) (R, error) {
	var reply R
	err := caller.Call(ctx, address, method, args, &reply)
	return reply, err
}
