package poison

import (
	"time"
)

// ServiceName is the name under which Service is registered.
const ServiceName = "Poison"

// Methods of Service by their net/rpc names.
const (
	MethodAcquire = ServiceName + ".Acquire"
	MethodRelease = ServiceName + ".Release"
)

// Service provides a gate to other nodes by net/rpc. Register it under ServiceName.
type Service struct {
	gate *Gate
	now  func() time.Time
}

// NewService returns a service for gate; now is the node's clock.
func NewService(gate *Gate, now func() time.Time) *Service {
	return &Service{gate: gate, now: now}
}

// Acquire requests a pass for one run of the content.
func (s *Service) Acquire(args *AcquireArgs, reply *AcquireReply) error {
	reply.Answer = s.gate.Acquire(s.now(), args.Fingerprint, args.ID, args.Hold)
	return nil
}

// Release returns a pass.
func (s *Service) Release(args *ReleaseArgs, _ *ReleaseReply) error {
	s.gate.Release(s.now(), args.Fingerprint, args.ID, args.Upstream, args.Ending)
	return nil
}
