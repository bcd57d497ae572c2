package node

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/auth"
	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/engine"
	"mangoledge.example/mangoledge/internal/entry"
	"mangoledge.example/mangoledge/internal/explain"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/guard"
	"mangoledge.example/mangoledge/internal/intake"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/observe"
	"mangoledge.example/mangoledge/internal/operator"
	"mangoledge.example/mangoledge/internal/owner"
	"mangoledge.example/mangoledge/internal/peer"
	"mangoledge.example/mangoledge/internal/plainservice"
	"mangoledge.example/mangoledge/internal/poison"
	"mangoledge.example/mangoledge/internal/requestmetrics"
	"mangoledge.example/mangoledge/internal/retry"
	"mangoledge.example/mangoledge/internal/witness"
)

// join opens the UDP socket for gossip and creates this node's cluster membership.
func (n *Node) join() error {
	var listen net.ListenConfig
	conn, err := listen.ListenPacket(context.Background(), "udp", n.settings.PeerListen)
	if err != nil {
		return errors.Wrap(err, "peerListen")
	}
	n.members = membership.New(membership.Options{
		Self: membership.Member{
			Incarnation:   n.self,
			Node:          n.settings.Node,
			Region:        n.settings.Region,
			FailureDomain: n.settings.FailureDomain,
			CallerURL:     n.settings.CallerURL,
			PeerAddress:   n.settings.PeerAdvertise,
		},
		Seeds:   n.settings.Seeds,
		Conn:    conn,
		Token:   n.settings.PeerToken,
		Logger:  n.logger,
		Metrics: n.metrics,
	})
	return nil
}

// buildDispatcher creates the dispatcher with the components that it depends on, the
// server for callers, the gauges and the server for operators.
func (n *Node) buildDispatcher(dialer peer.Dialer) error {
	tokens, err := auth.NewTokens(n.settings.Tokens)
	if err != nil {
		return err
	}
	cacheTTL := time.Duration(n.settings.Limits.AddressKeepMs) * time.Millisecond
	book := entry.NewAddressBook(n.members, cacheTTL, n.control.stale)
	n.guard = guard.New(n.members, n.members, n.peers, n.logger)
	budget := retry.NewBudget(retry.DefaultRetryShare, retry.DefaultReserve)
	n.intake = intake.New(n.control.manager)
	engines := engine.NewClient()
	n.observer = observe.New(n.router.Ledger(), engines)
	n.subscribeStateChanges()
	n.dispatcher = dispatch.New(dispatch.Options{
		Members:         n.members,
		Witness:         witness.NewClient(n.peers, n.members, n.witness),
		Router:          n.router,
		Admission:       n.intake,
		Guard:           n.guard,
		Retries:         retry.NewPolicy(budget, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))), //nolint:gosec // spreads retries
		Budget:          budget,
		Journal:         n.journal,
		ReclaimTimes:    n.router,
		RecoveryCounter: requestmetrics.NewRecoveryCounter(n.metrics),
		Engines:         engines,
		Services:        plainservice.NewClient(n.ingress.answers, n.ingress.buffers),
		Peers:           n.peers,
		Dialer:          dialer,
		Logger:          n.logger,
		MaxRunning:      n.settings.Limits.MaxConcurrent,
		Bodies:          n.ingress.bodies,
		Answers:         n.ingress.answers,
		RelayedAnswers:  n.ingress.relayedAnswers,
		KeptLimit:       share(&n.settings.Limits, keptPercent),
	})
	handler := entry.NewHandler(requestmetrics.New(n.dispatcher, n.metrics), book, n.control.manager)
	n.entry, err = entry.NewServer(handler, tokens, &n.settings.Limits, n.ingress.bodies)
	if err != nil {
		return err
	}
	n.registerGauges()
	n.registerIngressGauges()
	n.operator, err = newOperatorServer(n, tokens)
	return err
}

// subscribeStateChanges forwards state changes to guard and ledger: the upstream of a
// leaving mark was reclaimed rather than crashed, and a dead member or one that left
// holds no slots.
func (n *Node) subscribeStateChanges() {
	n.control.leaving.OnMark(func(mark fleet.Mark) {
		for _, upstream := range n.control.registry.Upstreams() {
			if !mark.Cleared && (upstream.ID == mark.Subject.Upstream || upstream.Host == mark.Subject.Host) {
				n.guard.Reclaimed(upstream.ID)
			}
		}
	})
	n.members.OnChange(func(member membership.Member) {
		if member.State == membership.StateDead || member.State == membership.StateLeft {
			n.router.Ledger().ReleaseHolder(time.Now(), member.Incarnation)
		}
	})
}

// register registers the services that this node offers to other nodes.
func (n *Node) register() error {
	if err := n.witness.Register(n.peerServer); err != nil {
		return err
	}
	if err := n.dispatcher.Register(n.peerServer); err != nil {
		return err
	}
	ledger := owner.NewService(n.router.Ledger(), time.Now)
	if err := n.peerServer.Register(owner.ServiceName, ledger); err != nil {
		return err
	}
	if err := n.peerServer.Register(explain.ServiceName, explain.NewService(n.journal)); err != nil {
		return err
	}
	if err := n.peerServer.Register(operator.OrderServiceName, n.orders); err != nil {
		return err
	}
	if err := n.peerServer.Register(operator.ShowServiceName, n.shows); err != nil {
		return err
	}
	if err := n.peerServer.Register(poison.ServiceName, n.guard.Service()); err != nil {
		return err
	}
	return n.control.register(n.peerServer)
}
