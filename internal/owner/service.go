package owner

import (
	"time"
)

// Service offers a ledger to other nodes over net/rpc. It is registered under
// ServiceName. Its methods never return errors.
type Service struct {
	ledger *Ledger
	now    func() time.Time
}

// NewService returns a service for ledger; now is the node's clock.
func NewService(ledger *Ledger, now func() time.Time) *Service {
	return &Service{ledger: ledger, now: now}
}

// Reserve serves Ledger.Reserve.
func (s *Service) Reserve(args *ReserveArgs, reply *ReserveReply) error {
	*reply = s.ledger.Reserve(s.now(), args)
	return nil
}

// Release serves Ledger.Release.
func (s *Service) Release(args *ReleaseArgs, reply *ReleaseReply) error {
	reply.Known = s.ledger.Release(s.now(), args.ID, args.Outcome)
	return nil
}

// Renew serves Ledger.Renew.
func (s *Service) Renew(args *RenewArgs, reply *RenewReply) error {
	reply.Unknown = s.ledger.Renew(s.now(), args.Holder, args.Serials)
	return nil
}
