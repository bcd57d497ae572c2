package owner

import (
	"time"
)

// Service offers a ledger to other nodes by net/rpc. Register it under
// ServiceName; its methods never return errors.
type Service struct {
	ledger *Ledger
	now    func() time.Time
}

// NewService returns the service of ledger; now is the node's clock.
func NewService(ledger *Ledger, now func() time.Time) *Service {
	return &Service{ledger: ledger, now: now}
}

// Reserve takes a slot.
func (s *Service) Reserve(args *ReserveArgs, reply *ReserveReply) error {
	*reply = s.ledger.Reserve(s.now(), args)
	return nil
}

// Release gives a slot back.
func (s *Service) Release(args *ReleaseArgs, reply *ReleaseReply) error {
	reply.Known = s.ledger.Release(s.now(), args.ID, args.Outcome)
	return nil
}

// Renew lets reservations go on.
func (s *Service) Renew(args *RenewArgs, reply *RenewReply) error {
	reply.Unknown = s.ledger.Renew(s.now(), args.Holder, args.Serials)
	return nil
}
