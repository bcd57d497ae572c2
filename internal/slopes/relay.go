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
	// changeCount is how many changes of configuration are measured, changeSpacing the time
	// between two.
	changeCount   = 12
	changeSpacing = 150 * time.Millisecond
	// inForceTimeout limits the time until a change is in force at every node.
	inForceTimeout = 10 * time.Second
	// relayQuietTime is how long relays are measured without changes.
	relayQuietTime = 3 * time.Second
	// ampleBudget is a budget of store calls that never limits the measurement.
	ampleBudget = 1e6
)

var errNotInForce = errors.New("a change was not in force everywhere in time")

// relayNode is the part of a node that distributes configuration.
type relayNode struct {
	manager  *config.Manager
	store    *objects.Client
	listener *countingListener
	peers    *peer.Client
	server   *peer.Server
}

// relaySite is a number of relays that use one stand-in of the object store.
type relaySite struct {
	nodes   []*relayNode
	store   *httptest.Server
	cancel  context.CancelFunc
	running sync.WaitGroup
	logger  *slog.Logger

	mu sync.Mutex
	// inForceTimes are the times from the acceptance of a change until it was in force at a
	// node.
	inForceTimes []time.Duration
	// accepted is when the proposer of each version was told that it is accepted.
	accepted map[uint64]time.Time
	// reports counts the nodes at which each version came into force.
	reports map[uint64]int
}

// newRelaySite starts size relays in the given number of failure domains. It also returns
// the site with an error, so that it can be stopped.
func newRelaySite(size, failureDomains int) (*relaySite, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &relaySite{
		store: httptest.NewServer(platform.NewServer(platform.Options{Seed: 1})), cancel: cancel,
		logger:   slog.New(slog.NewTextHandler(io.Discard, nil)),
		accepted: make(map[uint64]time.Time), reports: make(map[uint64]int),
	}
	var list []membership.Member
	for n := range size {
		inner, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // does not block
		if err != nil {
			return s, err
		}
		s.nodes = append(s.nodes, &relayNode{listener: &countingListener{Listener: inner}})
		m := memberN(n, time.Now(), inner.Addr().String())
		m.FailureDomain = ident.FailureDomain(fmt.Sprintf("domain-%02d", n%failureDomains))
		list = append(list, m)
	}
	for n := range s.nodes {
		if err := s.startNode(ctx, s.nodes[n], members.NewView(list, n)); err != nil {
			return s, err
		}
	}
	return s, nil
}

// startNode starts the relay and the configuration manager of a node.
func (s *relaySite) startNode(ctx context.Context, n *relayNode, view *members.View) error {
	dialer := peer.Dialer{Token: "slopes"}
	n.store = objects.NewClient(objects.Options{BaseURL: s.store.URL, Budget: objects.NewBudget(ampleBudget, ampleBudget)})
	n.peers = peer.NewClient(dialer)
	n.server = peer.NewServer(dialer.Token)
	r := relay.New(relay.Options{
		Store: n.store, Kinds: []objects.Kind{config.SiteKind}, View: view, Peers: n.peers, Dialer: dialer, Logger: s.logger,
	})
	n.manager = config.NewManager(config.ManagerOptions{Store: n.store, Relay: r, Logger: s.logger})
	if err := r.Register(n.server); err != nil {
		return err
	}
	s.running.Go(func() { _ = n.server.Serve(n.listener, nil) })
	s.running.Go(func() { _ = r.Run(ctx) })
	s.running.Go(func() { s.recordVersions(ctx, n.manager) })
	return nil
}

// recordVersions records when versions come into force at a node, until ctx ends.
func (s *relaySite) recordVersions(ctx context.Context, m *config.Manager) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.Changed():
		}
		at, version := time.Now(), m.Current().Version
		s.mu.Lock()
		s.reports[version]++
		if accepted, ok := s.accepted[version]; ok {
			s.inForceTimes = append(s.inForceTimes, at.Sub(accepted))
		} else {
			s.inForceTimes = append(s.inForceTimes, 0) // in force before the proposer was told
		}
		s.mu.Unlock()
	}
}

// stop stops all relays and the object store.
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

// makeChange makes the nth change at one of the nodes and waits until it is in force at
// all nodes. It returns the new version.
func (s *relaySite) makeChange(n int, base uint64) (uint64, error) {
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
	for end := time.Now().Add(inForceTimeout); !s.inForceEverywhere(outcome.Version); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			return 0, errNotInForce
		}
	}
	return outcome.Version, nil
}

// inForceEverywhere reports whether version or a later one is in force at every node.
func (s *relaySite) inForceEverywhere(version uint64) bool {
	for _, n := range s.nodes {
		if site := n.manager.Current(); site == nil || site.Version < version {
			return false
		}
	}
	return true
}

// bytesMoved returns the bytes that all nodes' listeners have read and written.
func (s *relaySite) bytesMoved() int64 {
	var sum int64
	for _, n := range s.nodes {
		sum += n.listener.bytes.Load()
	}
	return sum
}
