package witness

import (
	"context"

	"mangoledge.example/mangoledge/internal/grant"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/verdict"
)

// offer makes room for a predecessor's table.
func (s *Service) offer(_ context.Context, req *OfferRequest) (Ack, error) {
	if err := s.checkSuccessor(req.Successor); err != nil {
		return Ack{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.successor != "" {
		return Ack{}, verdict.New(verdict.MayHaveRun, verdict.CodeStopping, "this node hands its own tables over")
	}
	if _, ok := s.holdings[req.Witness]; !ok {
		s.holdings[req.Witness] = newSuccessorHolding(req.Witness)
	}
	return Ack{OK: true}, nil
}

// chunk keeps one part of a predecessor's table.
func (s *Service) chunk(_ context.Context, req *ChunkRequest) (Ack, error) {
	h, err := s.adopting(req.Successor, req.Witness)
	if err != nil {
		return Ack{}, err
	}
	part, err := grant.DecodeSnapshot(req.Data)
	if err != nil {
		return Ack{}, err
	}
	h.accept(req.Index, part)
	return Ack{OK: true}, nil
}

// install makes a predecessor's table answer here.
func (s *Service) install(_ context.Context, req *InstallRequest) (Ack, error) {
	h, err := s.adopting(req.Successor, req.Witness)
	if err != nil {
		return Ack{}, err
	}
	return Ack{OK: h.install(req.Count)}, nil
}

func (s *Service) adopting(successor, witness ident.Incarnation) (*holding, error) {
	if err := s.checkSuccessor(successor); err != nil {
		return nil, err
	}
	h, ok := s.holding(witness)
	if !ok {
		return nil, notHeld(witness)
	}
	return h, nil
}

// checkSuccessor refuses messages for an earlier process at the same address.
func (s *Service) checkSuccessor(successor ident.Incarnation) error {
	if successor == s.self {
		return nil
	}
	return verdict.New(verdict.MayHaveRun, verdict.CodeNodeLost, "%s is no longer here; this is %s", successor, s.self)
}
