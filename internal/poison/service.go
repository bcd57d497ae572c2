package poison

import (
	"time"
)

// ServiceName is the name that Service is registered under.
const ServiceName = "Poison"

// Methods of Service as net/rpc spells them.
const (
	MethodAcquire = ServiceName + ".Acquire"
	MethodRelease = ServiceName + ".Release"
)

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
