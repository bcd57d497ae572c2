package witness

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/grant"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/peer"
	"mangoledge.example/mangoledge/internal/request"
)

const (
	// serviceName is the net/rpc service name of the endpoint.
	serviceName = "Witness"
	// forwardTimeout bounds the forwarding of a message from a closed table: the wait
	// until the successor answers for the table, and the call.
	forwardTimeout = 250 * time.Millisecond
)

// Service holds the witness tables of this node.
type Service struct {
	self  ident.Incarnation
	peers peer.Caller

	// inputs bounds the inputs of requests in progress; nil for no bound.
	inputs *grant.Inputs
	// kept bounds the answers of finished requests.
	kept request.KeptAnswers

	mu     sync.RWMutex
	tables map[ident.Incarnation]*heldTable
	// successor is set before the first table is closed and never changes.
	successor ident.Incarnation
}

// NewService returns a service with an empty table for the node's own incarnation.
func NewService(self ident.Incarnation, peers peer.Caller) *Service {
	s := &Service{
		self:   self,
		peers:  peers,
		tables: map[ident.Incarnation]*heldTable{self: newOwnTable(self)},
	}
	s.kept.List, s.kept.Drop = s.listKept, s.dropKept
	return s
}

// LimitKept bounds the answers of finished requests to a number of bytes; 0 means no limit. It is called
// before the service is used.
func (s *Service) LimitKept(bytes int64) { s.kept.Limit = bytes }

// LimitInputs bounds the inputs of requests in progress to a number of bytes. It is called before the service is
// used.
func (s *Service) LimitInputs(bytes int64) {
	s.inputs = grant.NewInputs(bytes)
	for _, h := range s.tables {
		h.limitInputs(s.inputs)
	}
}

// InputBytes returns the length of the inputs of requests in progress.
func (s *Service) InputBytes() int64 { return s.inputs.Bytes() }

// Register exposes the service's methods to other nodes.
func (s *Service) Register(server *peer.Server) error {
	return server.Register(serviceName, &endpoint{service: s})
}

// Claim calls grant.Table.Claim on the table of the request's witness.
func (s *Service) Claim(ctx context.Context, req *grant.ClaimRequest) (grant.ClaimReply, error) {
	return applyOrForward(ctx, s, req.ID, "Claim", req, (*grant.Table).Claim)
}

// Grant calls grant.Table.Grant on the table of the request's witness.
func (s *Service) Grant(ctx context.Context, req *grant.Request) (grant.Reply, error) {
	return applyOrForward(ctx, s, req.ID, "Grant", req, (*grant.Table).Grant)
}

// Void calls grant.Table.Void on the table of the request's witness.
func (s *Service) Void(ctx context.Context, req *grant.VoidRequest) (grant.VoidReply, error) {
	return applyOrForward(ctx, s, req.ID, "Void", req, (*grant.Table).Void)
}

// Progress calls grant.Table.Progress on the table of the request's witness.
func (s *Service) Progress(ctx context.Context, req *grant.ProgressRequest) (grant.UpdateReply, error) {
	return applyOrForward(ctx, s, req.ID, "Progress", req, (*grant.Table).Progress)
}

// Finish calls grant.Table.Finish on the table of the request's witness.
func (s *Service) Finish(ctx context.Context, req *grant.FinishRequest) (grant.UpdateReply, error) {
	reply, err := applyOrForward(ctx, s, req.ID, "Finish", req, (*grant.Table).Finish)
	s.kept.Add(answerBytes(&req.Record))
	return reply, err
}

// Fetch calls grant.Table.Fetch on the table of the request's witness.
func (s *Service) Fetch(ctx context.Context, req *grant.FetchRequest) (grant.FetchReply, error) {
	return applyOrForward(ctx, s, req.ID, "Fetch", req, (*grant.Table).Fetch)
}

// Cancel calls grant.Table.Cancel on the table of the request's witness.
func (s *Service) Cancel(ctx context.Context, req *grant.CancelRequest) (grant.FetchReply, error) {
	return applyOrForward(ctx, s, req.ID, "Cancel", req, (*grant.Table).Cancel)
}

// Expire removes the entries whose deadline passed more than retention before now
// from every table, and returns how many. It also counts the answers of adopted tables.
func (s *Service) Expire(now time.Time, retention time.Duration) int {
	dropped := 0
	for _, h := range s.allTables() {
		for i := range h.shards {
			h.shards[i].withLock(func(t *grant.Table) { dropped += t.Expire(now, retention) })
		}
	}
	s.kept.Trim()
	return dropped
}

// Stats returns the statistics of each table held here, in no particular order.
func (s *Service) Stats() []Stat {
	held := s.allTables()
	out := make([]Stat, 0, len(held))
	for _, h := range held {
		out = append(out, h.stat())
	}
	return out
}

// allTables returns every table held here, closed ones included.
func (s *Service) allTables() []*heldTable {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make([]*heldTable, 0, len(s.tables))
	for _, h := range s.tables {
		out = append(out, h)
	}
	return out
}

// table returns the table of witness, if it is held here.
func (s *Service) table(witness ident.Incarnation) (*heldTable, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	h, ok := s.tables[witness]
	return h, ok
}

// applyOrForward applies one message to the table of the request's witness, here or
// at the successor if the table has been closed.
func applyOrForward[Q, R any](ctx context.Context, s *Service, id ident.RequestID, method string, req *Q, apply func(*grant.Table, *Q) (R, error)) (R, error) {
	var reply R
	h, ok := s.table(id.Witness)
	if !ok {
		return reply, tableNotHeld(id.Witness)
	}
	var err error
	h.shardOf(id).withLock(func(t *grant.Table) { reply, err = apply(t, req) })
	if errors.Is(err, grant.ErrClosed) {
		return forward[Q, R](ctx, s, h, method, req)
	}
	return reply, withVerdict(id.Witness, err)
}

// forward sends a message to the successor of h once the successor answers.
func forward[Q, R any](ctx context.Context, s *Service, h *heldTable, method string, req *Q) (R, error) {
	var reply R
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	successor, moved := h.successorAndMoved()
	select {
	case <-moved:
	case <-ctx.Done():
		return reply, witnessUnreachable(h.witness, ctx.Err())
	}
	err := s.peers.Call(ctx, successor.PeerAddress, serviceName+"."+method, req, &reply)
	if err != nil && isRetryable(err) {
		return reply, witnessUnreachable(h.witness, err)
	}
	return reply, err
}
