package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/engine"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/peer"
	"mangoledge.example/mangoledge/internal/plainservice"
	"mangoledge.example/mangoledge/internal/recovery"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/retry"
	standinengine "mangoledge.example/mangoledge/internal/standin/engine"
	"mangoledge.example/mangoledge/internal/verdict"
	"mangoledge.example/mangoledge/internal/witness"
)

const (
	prompt = "write the findings"
	// longStream is a number of tokens that takes seconds, so that no stream ends before
	// its failure is injected, even on a busy machine.
	longStream = 1000
)

// fakeSite is a site of several nodes and engines in this process. It is also their
// membership, router, journal and recovery counter.
type fakeSite struct {
	t       testing.TB
	mu      sync.Mutex
	members []membership.Member
	// upstreams are tried in this order.
	upstreams []fleet.Upstream
	leaving   map[ident.Upstream]bool
	// tokenLatencies are the times between tokens that placements were released with.
	tokenLatencies []time.Duration
	// latestStarts are the latest starts in the calls of Pick.
	latestStarts []time.Time
	// admission is the admission of the nodes added from now on.
	admission dispatch.Admission
	reclaims  map[ident.Upstream]time.Time
	decisions []journalEntry
	recovered map[recovery.Method]recoveryCount
}

// journalEntry is a recorded decision about a request.
type journalEntry struct{ decision, reason string }

// recoveryCount is the number of streams that continued and of tokens recomputed for them.
type recoveryCount struct{ streams, tokens int }

// Request implements dispatch.Journal.
func (s *fakeSite) Request(_ ident.RequestID, decision, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decisions = append(s.decisions, journalEntry{decision, reason})
}

// reasonsOf returns the recorded reasons of a decision, in order.
func (s *fakeSite) reasonsOf(decision string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, entry := range s.decisions {
		if entry.decision == decision {
			out = append(out, entry.reason)
		}
	}
	return out
}

// Recovered implements dispatch.RecoveryCounter.
func (s *fakeSite) Recovered(method recovery.Method, recomputed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := s.recovered[method]
	count.streams++
	count.tokens += recomputed
	s.recovered[method] = count
}

// recoveredBy returns the count for a method.
func (s *fakeSite) recoveredBy(method recovery.Method) recoveryCount {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recovered[method]
}

// ReclaimAt implements dispatch.ReclaimTimes.
func (s *fakeSite) ReclaimAt(id ident.Upstream) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reclaims[id]
}

// reclaim announces that an upstream is reclaimed after notice, and marks it as leaving.
func (s *fakeSite) reclaim(id ident.Upstream, notice time.Duration) {
	s.mu.Lock()
	s.reclaims[id] = time.Now().Add(notice)
	s.mu.Unlock()
	s.MarkLeaving(id)
}

// fakeNode is one node of a fakeSite.
type fakeNode struct {
	site       *fakeSite
	self       membership.Member
	dispatcher *dispatch.Dispatcher
	peers      *peer.Client
	server     *http.Server
	// connections counts the connections that other nodes opened to this one.
	connections *atomic.Int64
}

// countingListener counts accepted connections.
type countingListener struct {
	net.Listener
	accepted *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Add(1)
	}
	return conn, err
}

func newFakeSite(t testing.TB) *fakeSite {
	return &fakeSite{
		t: t, leaving: make(map[ident.Upstream]bool), admission: acceptAll{},
		reclaims: make(map[ident.Upstream]time.Time), recovered: make(map[recovery.Method]recoveryCount),
	}
}

func (s *fakeSite) Members() []membership.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.members)
}

func (s *fakeSite) Lookup(incarnation ident.Incarnation) (membership.Member, bool) {
	for _, m := range s.Members() {
		if m.Incarnation == incarnation {
			return m, true
		}
	}
	return membership.Member{}, false
}

// setState sets the membership state of a node.
func (s *fakeSite) setState(incarnation ident.Incarnation, state membership.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.members {
		if s.members[i].Incarnation == incarnation {
			s.members[i].State = state
		}
	}
}

// nodeView is the membership as seen by one node.
type nodeView struct {
	*fakeSite
	self membership.Member
}

func (v nodeView) Self() membership.Member { return v.self }

func (v nodeView) Members() []membership.Member {
	members := v.fakeSite.Members()
	for i := range members {
		members[i].Foreign = members[i].Protocol != v.self.Protocol
	}
	return members
}

func (v nodeView) Lookup(incarnation ident.Incarnation) (membership.Member, bool) {
	m, known := v.fakeSite.Lookup(incarnation)
	m.Foreign = m.Protocol != v.self.Protocol
	return m, known
}

type acceptAll struct{}

type immediateTicket struct{}

// Turn returns a closed channel: no request waits.
func (immediateTicket) Turn() <-chan struct{} {
	turn := make(chan struct{})
	close(turn)
	return turn
}

func (immediateTicket) Refusal() *verdict.Error        { return nil }
func (immediateTicket) LatestStart() time.Time         { return time.Now().Add(time.Hour) }
func (immediateTicket) OverdueRefusal() *verdict.Error { return nil }
func (immediateTicket) Placed()                        {}
func (immediateTicket) Release(bool)                   {}

func (acceptAll) Admit(*request.Spec) (dispatch.Ticket, error) { return immediateTicket{}, nil }

type noGuard struct{}

type noopPass struct{}

func (noopPass) Release(ident.Upstream, dispatch.Ending) {}

func (noGuard) Check(*request.Spec) error { return nil }

func (noGuard) Acquire(context.Context, *request.Spec) (dispatch.Pass, error) { return noopPass{}, nil }

type fakePlacement struct {
	site     *fakeSite
	upstream fleet.Upstream
}

func (s *fakeSite) addTokenLatency(perToken time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokenLatencies = append(s.tokenLatencies, perToken)
}

func (p fakePlacement) Upstream() fleet.Upstream { return p.upstream }
func (p fakePlacement) CachedTokens() int        { return 0 }
func (p fakePlacement) Release(_ dispatch.Outcome, perToken time.Duration) {
	p.site.addTokenLatency(perToken)
}

// Pick returns the first upstream that is not leaving, and one to avoid only if there is no other.
func (s *fakeSite) Pick(_ context.Context, req *dispatch.PlacementRequest) (dispatch.Placement, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latestStarts = append(s.latestStarts, req.LatestStart)
	var avoided *fleet.Upstream
	for i, u := range s.upstreams {
		switch {
		case u.Service != req.Spec.Service || s.leaving[u.ID]:
		case slices.Contains(req.Avoid, u.ID):
			avoided = &s.upstreams[i]
		default:
			return fakePlacement{site: s, upstream: u}, nil
		}
	}
	if avoided != nil {
		return fakePlacement{site: s, upstream: *avoided}, nil
	}
	return nil, verdict.New(verdict.NotRun, verdict.CodeNoUpstream, "none").WithRetryAfter(10 * time.Millisecond)
}

func (s *fakeSite) Leaving(id ident.Upstream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving[id]
}

func (s *fakeSite) MarkLeaving(id ident.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving[id] = true
}

// addNode adds a node with the current protocol version to the site and starts it.
func (s *fakeSite) addNode(name ident.Node) *fakeNode {
	return s.addNodeWithProtocol(name, membership.CurrentProtocol)
}

// addNodeWithProtocol adds a node to the site and starts it. The node accepts only calls
// from nodes of the same protocol version.
func (s *fakeSite) addNodeWithProtocol(name ident.Node, protocol membership.Protocol) *fakeNode {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	self := membership.Member{
		Incarnation: ident.NewIncarnation(name, time.Now()), Node: name,
		PeerAddress: listener.Addr().String(), Protocol: protocol,
	}
	s.mu.Lock()
	s.members = append(s.members, self)
	s.mu.Unlock()
	token := fmt.Sprint("protocol ", protocol)
	dialer := peer.Dialer{Token: token}
	peers := peer.NewClient(dialer)
	view := nodeView{fakeSite: s, self: self}
	tables := witness.NewService(self.Incarnation, peers)
	budget := retry.NewBudget(1, 100)
	d := dispatch.New(dispatch.Options{
		Guard: noGuard{}, Budget: budget, Retries: retry.NewPolicy(budget, rand.New(rand.NewPCG(1, 1))),
		Members: view, Witness: witness.NewClient(peers, view, tables), Router: s, Admission: s.admission,
		Journal: s, ReclaimTimes: s, RecoveryCounter: s, Engines: engine.NewClient(), Services: plainservice.NewClient(nil, nil),
		Peers: peers, Dialer: dialer, Logger: discard(), MaxRunning: 64,
	})
	server := peer.NewServer(token)
	require.NoError(s.t, d.Register(server))
	require.NoError(s.t, tables.Register(server))
	connections := new(atomic.Int64)
	go func() { _ = server.Serve(countingListener{listener, connections}, nil) }()
	d.Start()
	n := &fakeNode{site: s, self: self, dispatcher: d, peers: peers, connections: connections}
	s.t.Cleanup(func() {
		_ = server.Close()
		d.Stop()
		peers.Close()
	})
	n.server = nil
	return n
}

// addEngine starts an engine and returns its server.
func (s *fakeSite) addEngine(id ident.Upstream, interval time.Duration) *httptest.Server {
	return s.addEngineWithOptions(standinengine.Options{ID: string(id), Slots: 8, TokenInterval: interval, Seed: 7})
}

// addEngineWithOptions starts an engine with options and returns its server.
func (s *fakeSite) addEngineWithOptions(options standinengine.Options) *httptest.Server {
	e, err := standinengine.New(options)
	require.NoError(s.t, err)
	server := httptest.NewServer(e.Handler())
	s.t.Cleanup(func() { kill(server); server.Close(); e.Stop() })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.upstreams = append(s.upstreams, fleet.Upstream{ID: ident.Upstream(options.ID), URL: server.URL, State: fleet.StateReady})
	return server
}
