package witness

import (
	"context"

	"mangoledge.example/mangoledge/internal/grant"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/verdict"
)

// offer prepares this node to receive the table of a predecessor.
func (s *Service) offer(_ context.Context, req *OfferRequest) (Ack, error) {
	if err := s.checkSuccessor(req.Successor); err != nil {
		return Ack{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.successor != "" {
		return Ack{}, verdict.New(verdict.MayHaveRun, verdict.CodeStopping, "this node hands its own tables over")
	}
	if _, ok := s.tables[req.Witness]; !ok {
		h := newSuccessorTable(req.Witness)
		h.limitInputs(s.inputs)
		s.tables[req.Witness] = h
	}
	return Ack{OK: true}, nil
}

// chunk stores one part of a predecessor's table until it is installed.
func (s *Service) chunk(_ context.Context, req *ChunkRequest) (Ack, error) {
	h, err := s.successorTable(req.Successor, req.Witness)
	if err != nil {
		return Ack{}, err
	}
	part, err := grant.DecodeSnapshot(req.Data)
	if err != nil {
		return Ack{}, err
	}
	h.addChunk(req.Index, part)
	return Ack{OK: true}, nil
}

// install installs a predecessor's table, which answers here from then on. The
// reply's OK is false if parts are missing.
func (s *Service) install(_ context.Context, req *InstallRequest) (Ack, error) {
	h, err := s.successorTable(req.Successor, req.Witness)
	if err != nil {
		return Ack{}, err
	}
	return Ack{OK: h.install(req.Count)}, nil
}

// successorTable returns the table that this node receives from witness.
func (s *Service) successorTable(successor, witness ident.Incarnation) (*heldTable, error) {
	if err := s.checkSuccessor(successor); err != nil {
		return nil, err
	}
	h, ok := s.table(witness)
	if !ok {
		return nil, tableNotHeld(witness)
	}
	return h, nil
}

// checkSuccessor rejects messages meant for an earlier process at the same address.
func (s *Service) checkSuccessor(successor ident.Incarnation) error {
	if successor == s.self {
		return nil
	}
	return verdict.New(verdict.MayHaveRun, verdict.CodeNodeLost, "%s is no longer here; this is %s", successor, s.self)
}
