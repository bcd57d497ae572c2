package slopes

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/owner"
	"mangoledge.example/mangoledge/internal/peer"
	"mangoledge.example/mangoledge/internal/poison"
	"mangoledge.example/mangoledge/internal/routing"
	"mangoledge.example/mangoledge/internal/witness"
)

// peerServer is a node's peer listener with a witness, an owner and a gate behind it.
type peerServer struct {
	listener *countingListener
	server   *peer.Server
	ledger   *owner.Ledger
	self     ident.Incarnation
}

// newPeerServer starts the server on a free port.
func newPeerServer() (*peerServer, error) {
	inner, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // does not block
	if err != nil {
		return nil, err
	}
	p := &peerServer{
		listener: &countingListener{Listener: inner},
		server:   peer.NewServer("slopes"),
		ledger:   smallLedger(),
		self:     memberN(1, time.Now(), "").Incarnation,
	}
	if err := witness.NewService(p.self, nil).Register(p.server); err != nil {
		return nil, err
	}
	if err := p.server.Register(owner.ServiceName, owner.NewService(p.ledger, time.Now)); err != nil {
		return nil, err
	}
	gate := poison.NewService(poison.NewGate(poison.NewRegistry()), time.Now)
	if err := p.server.Register(poison.ServiceName, gate); err != nil {
		return nil, err
	}
	go func() { _ = p.server.Serve(p.listener, nil) }() // returns when the listener is closed
	return p, nil
}

// listenMore serves at count further addresses, whose bytes are counted together with
// those of the first.
func (p *peerServer) listenMore(count int) ([]string, error) {
	var out []string
	for range count {
		inner, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // does not block
		if err != nil {
			return nil, err
		}
		listener := &sharedListener{Listener: inner, bytes: &p.listener.bytes}
		go func() { _ = p.server.Serve(listener, nil) }() // returns when the server is closed
		out = append(out, inner.Addr().String())
	}
	return out, nil
}

// smallLedger returns the ledger of an owner that has one node's share of the upstreams of
// the large site.
func smallLedger() *owner.Ledger {
	self := memberN(0, time.Now(), "")
	random := rand.New(rand.NewPCG(randomSeed, randomSeed)) //nolint:gosec // not used for security
	ledger := owner.NewLedger(self.Node, self.FailureDomain, routing.CostPolicy{Weights: routing.WeightsFor(evenWeight)}, peerCallCount, random)
	var owned []fleet.Upstream
	for n := range siteUpstreams / siteMembers {
		u := upstreamN(n * domains)
		u.Models = []ident.Model{"model-0"}
		owned = append(owned, u)
	}
	ledger.Update(time.Now(), owned, []membership.Member{self})
	return ledger
}

// close shuts the server down.
func (p *peerServer) close() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_ = p.server.Shutdown(ctx)
}
