package witness

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/grant"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/testpause"
)

const (
	// chunkBytes is about how much of a table one message carries.
	chunkBytes = 128 << 10
	// handOverCallTimeout bounds one call of a hand-over.
	handOverCallTimeout = 500 * time.Millisecond
	// handOverPause is the time between two attempts of a call of a hand-over.
	handOverPause = 50 * time.Millisecond
)

// ErrNotAcknowledged is returned when the successor did not acknowledge an offer or
// a table in time. HandOver may be called again with the same successor.
var ErrNotAcknowledged = errors.New("the successor has not acknowledged the witness table")

// HandOver moves every table held here to successor. Until the successor has
// acknowledged the offer nothing changes and another one may be chosen; from
// then on it is the only one for ever. HandOver retries until ctx ends, and may
// be called again with the same successor.
// The node publishes successor as its own only after HandOver has returned nil.
func (s *Service) HandOver(ctx context.Context, successor membership.Member) error {
	for _, h := range s.all() {
		if h.hasMoved() {
			continue
		}
		if err := s.handOver(ctx, h, successor); err != nil {
			return errors.Wrapf(err, "table of %s to %s", h.witness, successor.Incarnation)
		}
	}
	return nil
}

func (s *Service) handOver(ctx context.Context, h *holding, successor membership.Member) error {
	if h.isAdopting() {
		// The predecessor still holds it, and will find this node gone.
		return nil
	}
	offer := &OfferRequest{Witness: h.witness, Successor: successor.Incarnation}
	if err := s.insist(ctx, successor, "Offer", offer); err != nil {
		return err
	}
	if err := s.choose(successor.Incarnation); err != nil {
		return err
	}
	testpause.At(testpause.HandOverOffered)
	if err := h.close(successor); err != nil {
		return err
	}
	testpause.At(testpause.HandOverClosed)
	count, err := s.sendChunks(ctx, h, successor)
	if err != nil {
		return err
	}
	install := &InstallRequest{Witness: h.witness, Successor: successor.Incarnation, Count: count}
	if err := s.insist(ctx, successor, "Install", install); err != nil {
		return err
	}
	testpause.At(testpause.HandOverInstalled)
	h.markMoved()
	return nil
}

// Successor returns the member that the tables of this node go to, for ever, once
// one has acknowledged; empty before.
func (s *Service) Successor() ident.Incarnation {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.successor
}

// choose makes successor the one that all tables of this node go to. The node
// publishes one successor, so that tables at two would not be found.
func (s *Service) choose(successor ident.Incarnation) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.successor != "" && s.successor != successor {
		return grant.ErrOtherSuccessor
	}
	s.successor = successor
	return nil
}

// sendChunks sends the closed table and returns the number of its parts. A
// closed table no longer changes, so that a part sent again is the same.
func (s *Service) sendChunks(ctx context.Context, h *holding, successor membership.Member) (int, error) {
	parts, err := h.snapshot()
	if err != nil {
		return 0, err
	}
	count := 0
	for i := range parts {
		parts[i].Shard = i
		for _, chunk := range splitSnapshot(&parts[i], chunkBytes) {
			data, err := chunk.Encode()
			if err != nil {
				return 0, err
			}
			req := &ChunkRequest{Witness: h.witness, Successor: successor.Incarnation, Index: count, Data: data}
			if err := s.insist(ctx, successor, "Chunk", req); err != nil {
				return 0, err
			}
			count++
			testpause.At(testpause.HandOverPartSent)
		}
	}
	return count, nil
}

// insist repeats one call to the successor until it is acknowledged or ctx ends.
func (s *Service) insist(ctx context.Context, successor membership.Member, method string, req any) error {
	for {
		err := s.try(ctx, successor, method, req)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Mark(err, ErrNotAcknowledged)
		case <-time.After(handOverPause):
		}
	}
}

func (s *Service) try(ctx context.Context, successor membership.Member, method string, req any) error {
	ctx, cancel := context.WithTimeout(ctx, handOverCallTimeout)
	defer cancel()
	var ack Ack
	if err := s.peers.Call(ctx, successor.PeerAddress, serviceName+"."+method, req, &ack); err != nil {
		return err
	}
	if !ack.OK {
		return errors.Newf("%s was not taken in", method)
	}
	return nil
}

// splitSnapshot cuts s into parts of about size bytes each; there is at least one.
func splitSnapshot(s *grant.Snapshot, size int) []grant.Snapshot {
	out := []grant.Snapshot{{Shard: s.Shard, Spent: s.Spent, Forgotten: s.Forgotten, Full: s.Full}}
	used := 0
	for _, period := range s.Spent {
		used += len(period.Slots) * len(grant.Fingerprint{})
	}
	for i := range s.Entries {
		e := &s.Entries[i]
		if used > size {
			out = append(out, grant.Snapshot{Shard: s.Shard, Full: s.Full})
			used = 0
		}
		last := &out[len(out)-1]
		last.Entries = append(last.Entries, *e)
		used += entryBytes(e)
	}
	return out
}

// entryOverheadBytes is about what an entry takes besides its texts.
const entryOverheadBytes = 512

// tokenOverheadBytes is what a token's text is preceded by.
const tokenOverheadBytes = 2

func entryBytes(e *grant.Entry) int {
	n := entryOverheadBytes + len(e.Record.Spec.Input) + len(e.Record.Output)
	for _, token := range e.Record.Tokens {
		n += tokenOverheadBytes + len(token)
	}
	return n
}
