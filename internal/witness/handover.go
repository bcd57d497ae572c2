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
	// chunkBytes is the approximate size of the part of a table that one message carries.
	chunkBytes = 128 << 10
	// handOverCallTimeout bounds one attempt of a call of a hand-over.
	handOverCallTimeout = 500 * time.Millisecond
	// handOverRetryInterval is the pause between two attempts of a call of a hand-over.
	handOverRetryInterval = 50 * time.Millisecond
)

// ErrNotAcknowledged is returned when the successor did not acknowledge an offer or
// a table in time. HandOver may be called again with the same successor.
var ErrNotAcknowledged = errors.New("the successor has not acknowledged the witness table")

// HandOver moves every table held here to successor. Until the successor has
// acknowledged the first offer nothing changes and another one may be chosen; from
// then on the successor can't be changed. HandOver retries until ctx ends, and may
// be called again with the same successor.
// The node publishes its successor only after HandOver has returned nil.
func (s *Service) HandOver(ctx context.Context, successor membership.Member) error {
	for _, h := range s.allTables() {
		if h.hasMoved() {
			continue
		}
		if err := s.handOverTable(ctx, h, successor); err != nil {
			return errors.Wrapf(err, "table of %s to %s", h.witness, successor.Incarnation)
		}
	}
	return nil
}

// handOverTable moves one table to successor.
func (s *Service) handOverTable(ctx context.Context, h *heldTable, successor membership.Member) error {
	if h.awaitsSnapshot() {
		// The predecessor still holds the table and will find that this node has left.
		return nil
	}
	offer := &OfferRequest{Witness: h.witness, Successor: successor.Incarnation}
	if err := s.callUntilAcknowledged(ctx, successor, "Offer", offer); err != nil {
		return err
	}
	if err := s.setSuccessor(successor.Incarnation); err != nil {
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
	if err := s.callUntilAcknowledged(ctx, successor, "Install", install); err != nil {
		return err
	}
	testpause.At(testpause.HandOverInstalled)
	h.markMoved()
	return nil
}

// Successor returns the member that receives the tables of this node, or empty if
// none has acknowledged an offer yet. Once set, it never changes.
func (s *Service) Successor() ident.Incarnation {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.successor
}

// setSuccessor makes successor the receiver of all tables of this node. The node
// publishes a single successor, so tables handed to a second one would not be found.
func (s *Service) setSuccessor(successor ident.Incarnation) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.successor != "" && s.successor != successor {
		return grant.ErrOtherSuccessor
	}
	s.successor = successor
	return nil
}

// sendChunks sends the closed table and returns the number of its parts. A closed
// table does not change, so a part that is resent has the same content.
func (s *Service) sendChunks(ctx context.Context, h *heldTable, successor membership.Member) (int, error) {
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
			if err := s.callUntilAcknowledged(ctx, successor, "Chunk", req); err != nil {
				return 0, err
			}
			count++
			testpause.At(testpause.HandOverPartSent)
		}
	}
	return count, nil
}

// callUntilAcknowledged retries one call to the successor until it is acknowledged or ctx ends.
func (s *Service) callUntilAcknowledged(ctx context.Context, successor membership.Member, method string, req any) error {
	for {
		err := s.callOnce(ctx, successor, method, req)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Mark(err, ErrNotAcknowledged)
		case <-time.After(handOverRetryInterval):
		}
	}
}

// callOnce makes one attempt of a call to the successor.
func (s *Service) callOnce(ctx context.Context, successor membership.Member, method string, req any) error {
	ctx, cancel := context.WithTimeout(ctx, handOverCallTimeout)
	defer cancel()
	var ack Ack
	if err := s.peers.Call(ctx, successor.PeerAddress, serviceName+"."+method, req, &ack); err != nil {
		return err
	}
	if !ack.OK {
		return errors.Newf("successor did not accept the call %s", method)
	}
	return nil
}

// splitSnapshot splits s into one or more parts of about size bytes each.
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
		used += estimateEntryBytes(e)
	}
	return out
}

// entryOverheadBytes is the approximate encoded size of an entry without input,
// output and tokens.
const entryOverheadBytes = 512

// tokenOverheadBytes is the encoded size of a token besides its text.
const tokenOverheadBytes = 2

// estimateEntryBytes estimates the encoded size of an entry.
func estimateEntryBytes(e *grant.Entry) int {
	n := entryOverheadBytes + len(e.Record.Spec.Input) + len(e.Record.Output)
	for _, token := range e.Record.Tokens {
		n += tokenOverheadBytes + len(token)
	}
	return n
}
