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

// peerServer is a node's listener with a witness behind it.
type peerServer struct {
	listener *countingListener
	server   *peer.Server
	ledger   *owner.Ledger
	self     ident.Incarnation
}

func newPeerServer() (*peerServer, error) {
	inner, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // opens at once
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
	go func() { _ = p.server.Serve(p.listener, nil) }() // ends with the listener
	return p, nil
}

// listenMore answers at count further addresses.
func (p *peerServer) listenMore(count int) ([]string, error) {
	var out []string
	for range count {
		inner, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // opens at once
		if err != nil {
			return nil, err
		}
		listener := &sharedListener{Listener: inner, bytes: &p.listener.bytes}
		go func() { _ = p.server.Serve(listener, nil) }() // ends with the server
		out = append(out, inner.Addr().String())
	}
	return out, nil
}

// smallLedger is the ledger of an owner with one node's share of the large site.
func smallLedger() *owner.Ledger {
	self := memberN(0, time.Now(), "")
	random := rand.New(rand.NewPCG(randomSeed, randomSeed)) //nolint:gosec // a measurement
	ledger := owner.NewLedger(self.Node, self.FailureDomain, routing.Cost{Weights: routing.WeightsFor(evenWeight)}, peerCallCount, random)
	var owned []fleet.Upstream
	for n := range siteUpstreams / siteMembers {
		u := upstreamN(n * domains)
		u.Models = []ident.Model{"model-0"}
		owned = append(owned, u)
	}
	ledger.Update(time.Now(), owned, []membership.Member{self})
	return ledger
}

func (p *peerServer) close() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_ = p.server.Shutdown(ctx)
}
