package poison

import (
	"context"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

// ServiceName is the name that Service is registered under.
const ServiceName = "Poison"

// Methods of Service as net/rpc spells them.
const (
	MethodAcquire = ServiceName + ".Acquire"
	MethodRelease = ServiceName + ".Release"
)

// AcquireArgs asks to run a content once.
type AcquireArgs struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Fingerprint Fingerprint
	ID          PassID
	// Hold is how long the pass lasts without a release.
	Hold time.Duration
}

// AcquireReply is the gate's answer.
type AcquireReply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Answer Answer
}

// ReleaseArgs gives a pass back.
type ReleaseArgs struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Fingerprint Fingerprint
	ID          PassID
	Upstream    ident.Upstream
	Ending      Ending
}

// ReleaseReply is empty.
type ReleaseReply struct{}

// Service offers a gate to other nodes by net/rpc. Register it under ServiceName.
type Service struct {
	gate *Gate
	now  func() time.Time
}

// NewService returns the service of gate; now is the node's clock.
func NewService(gate *Gate, now func() time.Time) *Service {
	return &Service{gate: gate, now: now}
}

// Acquire asks to run a content.
func (s *Service) Acquire(args *AcquireArgs, reply *AcquireReply) error {
	reply.Answer = s.gate.Acquire(s.now(), args.Fingerprint, args.ID, args.Hold)
	return nil
}

// Release gives a pass back.
func (s *Service) Release(args *ReleaseArgs, _ *ReleaseReply) error {
	s.gate.Release(s.now(), args.Fingerprint, args.ID, args.Upstream, args.Ending)
	return nil
}

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
