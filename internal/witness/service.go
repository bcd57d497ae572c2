package witness

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/grant"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/peer"
)

const (
	// serviceName is the name of the witness's methods at the peer server.
	serviceName = "Witness"
	// forwardTimeout bounds how long a closed table waits for its successor and the successor's answer.
	forwardTimeout = 250 * time.Millisecond
)

// Service holds the witness tables of this node.
type Service struct {
	self  ident.Incarnation
	peers peer.Caller

	mu       sync.RWMutex
	holdings map[ident.Incarnation]*holding
	// successor is set before the first table is closed, and never changes.
	successor ident.Incarnation
}

// NewService returns the service of a node with an empty table under its own incarnation.
func NewService(self ident.Incarnation, peers peer.Caller) *Service {
	own := newHolding(self)
	return &Service{
		self:     self,
		peers:    peers,
		holdings: map[ident.Incarnation]*holding{self: own},
	}
}

// Register offers the service's methods to other nodes.
func (s *Service) Register(server *peer.Server) error {
	return server.Register(serviceName, &endpoint{service: s})
}

// Claim is grant.Table.Claim at the table that the ID names.
func (s *Service) Claim(ctx context.Context, req *grant.ClaimRequest) (grant.ClaimReply, error) {
	return serve(ctx, s, req.ID, "Claim", req, (*grant.Table).Claim)
}

// Grant is grant.Table.Grant at the table that the ID names.
func (s *Service) Grant(ctx context.Context, req *grant.Request) (grant.Reply, error) {
	return serve(ctx, s, req.ID, "Grant", req, (*grant.Table).Grant)
}

// Void is grant.Table.Void at the table that the ID names.
func (s *Service) Void(ctx context.Context, req *grant.VoidRequest) (grant.VoidReply, error) {
	return serve(ctx, s, req.ID, "Void", req, (*grant.Table).Void)
}

// Progress is grant.Table.Progress at the table that the ID names.
func (s *Service) Progress(ctx context.Context, req *grant.ProgressRequest) (grant.UpdateReply, error) {
	return serve(ctx, s, req.ID, "Progress", req, (*grant.Table).Progress)
}

// Finish is grant.Table.Finish at the table that the ID names.
func (s *Service) Finish(ctx context.Context, req *grant.FinishRequest) (grant.UpdateReply, error) {
	return serve(ctx, s, req.ID, "Finish", req, (*grant.Table).Finish)
}

// Fetch is grant.Table.Fetch at the table that the ID names.
func (s *Service) Fetch(ctx context.Context, req *grant.FetchRequest) (grant.FetchReply, error) {
	return serve(ctx, s, req.ID, "Fetch", req, (*grant.Table).Fetch)
}

// Cancel is grant.Table.Cancel at the table that the ID names.
func (s *Service) Cancel(ctx context.Context, req *grant.CancelRequest) (grant.FetchReply, error) {
	return serve(ctx, s, req.ID, "Cancel", req, (*grant.Table).Cancel)
}

// Expire drops entries whose deadline passed more than retention before now,
// in every table, and returns how many.
func (s *Service) Expire(now time.Time, retention time.Duration) int {
	dropped := 0
	for _, h := range s.all() {
		for i := range h.shards {
			h.shards[i].do(func(t *grant.Table) { dropped += t.Expire(now, retention) })
		}
	}
	return dropped
}

// Stats returns the size of each table held here, in no particular order.
func (s *Service) Stats() []Stat {
	held := s.all()
	out := make([]Stat, 0, len(held))
	for _, h := range held {
		out = append(out, h.stat())
	}
	return out
}

func (s *Service) all() []*holding {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make([]*holding, 0, len(s.holdings))
	for _, h := range s.holdings {
		out = append(out, h)
	}
	return out
}

func (s *Service) holding(witness ident.Incarnation) (*holding, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	h, ok := s.holdings[witness]
	return h, ok
}

// serve applies one message to the table that id names, here or at its successor.
func serve[Q, R any](ctx context.Context, s *Service, id ident.RequestID, method string, req *Q, apply func(*grant.Table, *Q) (R, error)) (R, error) {
	var reply R
	h, ok := s.holding(id.Witness)
	if !ok {
		return reply, notHeld(id.Witness)
	}
	var err error
	h.shardOf(id).do(func(t *grant.Table) { reply, err = apply(t, req) })
	if errors.Is(err, grant.ErrClosed) {
		return forward[Q, R](ctx, s, h, method, req)
	}
	return reply, classify(id.Witness, err)
}

// forward sends a message on to the successor of h, once it answers.
func forward[Q, R any](ctx context.Context, s *Service, h *holding, method string, req *Q) (R, error) {
	var reply R
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	successor, moved := h.place()
	select {
	case <-moved:
	case <-ctx.Done():
		return reply, lost(h.witness, ctx.Err())
	}
	err := s.peers.Call(ctx, successor.PeerAddress, serviceName+"."+method, req, &reply)
	if err != nil && worthRetry(err) {
		return reply, lost(h.witness, err)
	}
	return reply, err
}
