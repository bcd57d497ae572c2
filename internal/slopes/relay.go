package slopes

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/peer"
	"mangoledge.example/mangoledge/internal/platform/objects"
	"mangoledge.example/mangoledge/internal/relay"
	"mangoledge.example/mangoledge/internal/standin/members"
	"mangoledge.example/mangoledge/internal/standin/platform"
)

const (
	// changeCount is how many changes of configuration are measured, changeSpacing the time between two.
	changeCount   = 12
	changeSpacing = 150 * time.Millisecond
	// inForceTimeout bounds how long a change may take to be in force everywhere.
	inForceTimeout = 10 * time.Second
	// relayQuietTime is how long relays are measured without changes.
	relayQuietTime = 3 * time.Second
	// ampleBudget lifts a node's budget of store calls out of the way of the measurement.
	ampleBudget = 1e6
)

var errNotInForce = errors.New("a change was not in force everywhere in time")

// relayNode is one node's part in configuration.
type relayNode struct {
	manager  *config.Manager
	store    *objects.Client
	listener *countingListener
	peers    *peer.Client
	server   *peer.Server
}

// relaySite is a number of relays before one stand-in of the object API.
type relaySite struct {
	nodes   []*relayNode
	store   *httptest.Server
	cancel  context.CancelFunc
	running sync.WaitGroup
	quiet   *slog.Logger

	mu    sync.Mutex
	times []time.Duration
	// accepted is when each version was accepted.
	accepted map[uint64]time.Time
	heard    map[uint64]int
}

func newRelaySite(size, failureDomains int) (*relaySite, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &relaySite{
		store: httptest.NewServer(platform.NewServer(platform.Options{Seed: 1})), cancel: cancel,
		quiet:    slog.New(slog.NewTextHandler(io.Discard, nil)),
		accepted: make(map[uint64]time.Time), heard: make(map[uint64]int),
	}
	var list []membership.Member
	for n := range size {
		inner, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // opens at once
		if err != nil {
			return s, err
		}
		s.nodes = append(s.nodes, &relayNode{listener: &countingListener{Listener: inner}})
		m := memberN(n, time.Now(), inner.Addr().String())
		m.FailureDomain = ident.FailureDomain(fmt.Sprintf("domain-%02d", n%failureDomains))
		list = append(list, m)
	}
	for n := range s.nodes {
		if err := s.start(ctx, s.nodes[n], members.NewView(list, n)); err != nil {
			return s, err
		}
	}
	return s, nil
}

func (s *relaySite) start(ctx context.Context, n *relayNode, view *members.View) error {
	dialer := peer.Dialer{Token: "slopes"}
	n.store = objects.NewClient(objects.Options{BaseURL: s.store.URL, Budget: objects.NewBudget(ampleBudget, ampleBudget)})
	n.peers = peer.NewClient(dialer)
	n.server = peer.NewServer(dialer.Token)
	r := relay.New(relay.Options{
		Store: n.store, Kinds: []objects.Kind{config.SiteKind}, View: view, Peers: n.peers, Dialer: dialer, Logger: s.quiet,
	})
	n.manager = config.NewManager(config.ManagerOptions{Store: n.store, Relay: r, Logger: s.quiet})
	if err := r.Register(n.server); err != nil {
		return err
	}
	s.running.Go(func() { _ = n.server.Serve(n.listener, nil) })
	s.running.Go(func() { _ = r.Run(ctx) })
	s.running.Go(func() { s.note(ctx, n.manager) })
	return nil
}

// note keeps when versions come in force at a node.
func (s *relaySite) note(ctx context.Context, m *config.Manager) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.Changed():
		}
		at, version := time.Now(), m.Current().Version
		s.mu.Lock()
		s.heard[version]++
		if accepted, ok := s.accepted[version]; ok {
			s.times = append(s.times, at.Sub(accepted))
		} else {
			s.times = append(s.times, 0) // in force before the operator was told
		}
		s.mu.Unlock()
	}
}

func (s *relaySite) stop() {
	s.cancel()
	for _, n := range s.nodes {
		if n.peers != nil {
			n.peers.Close()
			n.store.Close()
			_ = n.server.Close()
		}
	}
	s.store.CloseClientConnections()
	s.running.Wait()
	s.store.Close()
}

// change makes the nth change by one of the nodes and waits until it is in force everywhere.
func (s *relaySite) change(n int, base uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), inForceTimeout)
	defer cancel()
	proposal := config.Proposal{Change: ident.Change(fmt.Sprintf("change-%d", n)), BaseVersion: base, Edits: []config.Edit{{
		Table: config.TableModel, Key: "model-1",
		Assignments: []config.Assignment{{Column: "replicas", Value: fmt.Sprint(n + 1)}},
	}}}
	proposer := s.nodes[n%len(s.nodes)].manager
	outcome, err := proposer.Propose(ctx, proposal)
	for err == nil && outcome.Kind == config.OutcomeUnknown { // the same change can be sent again
		outcome, err = proposer.Propose(ctx, proposal)
	}
	if err != nil {
		return 0, err
	}
	if outcome.Kind != config.OutcomeAccepted {
		return 0, errors.Newf("change %d: %s %v %s", n, outcome.Kind, outcome.Faults, outcome.Reason)
	}
	s.mu.Lock()
	s.accepted[outcome.Version] = time.Now()
	s.mu.Unlock()
	for end := time.Now().Add(inForceTimeout); !s.everywhere(outcome.Version); time.Sleep(pollTime) {
		if time.Now().After(end) {
			return 0, errNotInForce
		}
	}
	return outcome.Version, nil
}

func (s *relaySite) everywhere(version uint64) bool {
	for _, n := range s.nodes {
		if site := n.manager.Current(); site == nil || site.Version < version {
			return false
		}
	}
	return true
}

func (s *relaySite) bytes() int64 {
	var sum int64
	for _, n := range s.nodes {
		sum += n.listener.bytes.Load()
	}
	return sum
}
