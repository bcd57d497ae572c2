package slopes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/grant"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/owner"
	"mangoledge.example/mangoledge/internal/peer"
	"mangoledge.example/mangoledge/internal/poison"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/routing"
	"mangoledge.example/mangoledge/internal/witness"
)

const (
	// peerCallCount is how many calls are measured.
	peerCallCount = 4000
	// batchReports is how many requests a batch of progress reports on.
	batchReports = 2
	// linkSeconds is how long idle connections are measured, linkCount how many.
	linkCount   = 200
	linkSeconds = 10
	callTimeout = 5 * time.Second
)

// countingListener counts the bytes of its connections.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	shared := sharedListener{Listener: l.Listener, bytes: &l.bytes}
	return shared.Accept()
}

// sharedListener counts the bytes of its connections together with others.
type sharedListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l *sharedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, bytes: l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

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

// peerCalls measures the calls that a request makes to its witness, both ends
// together, and what a connection costs that only has heartbeats.
func peerCalls() ([]Figure, error) {
	p, err := newPeerServer()
	if err != nil {
		return nil, err
	}
	defer p.close()
	client := peer.NewClient(peer.Dialer{Token: "slopes"})
	defer client.Close()
	address := p.listener.Addr().String()
	home := memberN(0, time.Now(), "").Incarnation
	specs := make([]*request.Spec, peerCallCount)
	for n := range specs {
		specs[n] = specN(home, p.self, n)
	}
	caller := &measuredCaller{server: p, client: client, address: address}
	figures := []Figure{
		caller.measure("claim", "Witness.Claim", func(n int) (args, reply any) {
			return &grant.ClaimRequest{ID: specs[n].ID, Holder: home, Spec: specs[n]}, new(grant.ClaimReply)
		}),
		caller.measure("grant", "Witness.Grant", func(n int) (args, reply any) {
			return &grant.Request{ID: specs[n].ID, Holder: home, Epoch: 1}, new(grant.Reply)
		}),
		caller.measure("progress", "Witness.Progress", func(n int) (args, reply any) {
			return &grant.ProgressRequest{ID: specs[n].ID, Holder: home, Epoch: 1, Upstream: "u1", Generation: "g1", Tokens: tokensOf(progressTokens)}, new(grant.UpdateReply)
		}),
		caller.measure("progress_batch", "Witness.ProgressBatch", func(n int) (args, reply any) {
			reports := make([]grant.ProgressRequest, batchReports)
			for i := range reports {
				id := specs[(n+i)%peerCallCount].ID
				reports[i] = grant.ProgressRequest{ID: id, Holder: home, Epoch: 1, Upstream: "u1", Generation: "g1", Offset: progressTokens, Tokens: tokensOf(progressTokens)}
			}
			return &grant.ProgressBatch{Reports: reports}, new(grant.ProgressBatchReply)
		}),
		caller.measure("finish", "Witness.Finish", func(n int) (args, reply any) {
			done := request.Record{Phase: request.PhaseDone, Holder: home, Epoch: 1, Generation: "g1", Tokens: tokensOf(answerTokens)}
			return &grant.FinishRequest{ID: specs[n].ID, Holder: home, Epoch: 1, Record: done}, new(grant.UpdateReply)
		}),
	}
	figures = append(figures,
		caller.measure("reserve", owner.MethodReserve, func(n int) (args, reply any) {
			id := owner.ReservationID{Holder: home.Hash(), Serial: uint64(n)}
			blocks := routing.Blocks(nil, "model-0", "", specs[n].Input)
			p.ledger.Table().Confirm(time.Now())
			return &owner.ReserveArgs{ID: id, Model: "model-0", Blocks: blocks, PromptTokens: promptBytes / tokenBytes, MaxTokens: answerTokens}, new(owner.ReserveReply)
		}),
		caller.measure("release", owner.MethodRelease, func(n int) (args, reply any) {
			return &owner.ReleaseArgs{ID: owner.ReservationID{Holder: home.Hash(), Serial: uint64(n)}}, new(owner.ReleaseReply)
		}),
	)
	figures = append(figures,
		caller.measure("gate_acquire", poison.MethodAcquire, func(n int) (args, reply any) {
			id := poison.PassID{Holder: home.Hash(), Serial: uint64(n)}
			return &poison.AcquireArgs{Fingerprint: poison.Of("model-0", "", "", specs[n].Input), ID: id, Hold: deadlineAfter}, new(poison.AcquireReply)
		}),
		caller.measure("gate_release", poison.MethodRelease, func(n int) (args, reply any) {
			id := poison.PassID{Holder: home.Hash(), Serial: uint64(n)}
			return &poison.ReleaseArgs{Fingerprint: poison.Of("model-0", "", "", specs[n].Input), ID: id, Upstream: upstreamN(n).ID, Ending: poison.EndingFinished}, new(poison.ReleaseReply)
		}),
	)
	figures = append(figures, caller.bytes...)
	idle, err := idleLinks()
	return append(figures, idle...), firstError(caller.err, err)
}

func firstError(failures ...error) error {
	for _, err := range failures {
		if err != nil {
			return err
		}
	}
	return nil
}

// measuredCaller makes calls and keeps what they cost.
type measuredCaller struct {
	server  *peerServer
	client  *peer.Client
	address string
	bytes   []Figure
	err     error
}

func (c *measuredCaller) measure(name, method string, call func(n int) (args, reply any)) Figure {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	before := c.server.listener.bytes.Load()
	spent := cost(peerCallCount, func(n int) {
		args, reply := call(n)
		if err := c.client.Call(ctx, c.address, method, args, reply); err != nil && c.err == nil {
			c.err = errors.Wrapf(err, "%s %d", method, n)
		}
	})
	how := fmt.Sprintf("%d calls one after another, both ends", peerCallCount)
	moved := float64(c.server.listener.bytes.Load()-before) / peerCallCount
	c.bytes = append(c.bytes, Figure{Name: "peer." + name + "_bytes", Value: moved, Unit: unitBytes, How: how + ", both directions, without TCP headers"})
	return Figure{Name: "peer." + name + "_call", Value: spent, Unit: unitMicroseconds, How: how}
}

// idleLinks measures connections that carry nothing but heartbeats.
func idleLinks() ([]Figure, error) {
	p, err := newPeerServer()
	if err != nil {
		return nil, err
	}
	defer p.close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	addresses, err := p.listenMore(linkCount)
	if err != nil {
		return nil, err
	}
	client := peer.NewClient(peer.Dialer{Token: "slopes"})
	defer client.Close()
	before := now(true)
	for _, address := range addresses {
		ping := client.Call(ctx, address, "Heartbeat.Ping", &peer.Ping{}, &peer.Pong{})
		err = firstError(err, ping)
	}
	open := now(true)
	moved := p.listener.bytes.Load()
	time.Sleep(linkSeconds * time.Second)
	after := now(false)
	how := fmt.Sprintf("%d connections for %d s, both ends", linkCount, linkSeconds)
	linkTime := after.wall.Sub(open.wall).Seconds() * linkCount
	return []Figure{
		{Name: "peer.link_memory", Value: signedDifference(open, before) / linkCount, Unit: unitBytes, How: how},
		{Name: "peer.link_bytes", Value: float64(p.listener.bytes.Load()-moved) / linkTime, Unit: unitBytesPerSecond, How: how + ", without TCP headers"},
		{Name: "peer.link_cpu", Value: (after.processor - open.processor).Seconds() / linkTime * percent, Unit: unitPercentOfCore, How: how},
	}, err
}
