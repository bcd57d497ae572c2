package node

import (
	"net/http"
	"time"

	"mangoledge.example/mangoledge/internal/auth"
	"mangoledge.example/mangoledge/internal/capacity"
	"mangoledge.example/mangoledge/internal/explain"
	"mangoledge.example/mangoledge/internal/ingress"
	"mangoledge.example/mangoledge/internal/operator"
	"mangoledge.example/mangoledge/internal/tables"
)

// operatorHeaderTimeout limits the time that an operator's client may take to send request headers.
const operatorHeaderTimeout = 5 * time.Second

const (
	// operatorIdleTimeout is how long a connection of an operator's client may be idle.
	operatorIdleTimeout = 2 * time.Minute
	// maxOperatorHeaderBytes is the largest header of an operator's request, in bytes.
	maxOperatorHeaderBytes = 16 << 10
)

// newOperatorServer returns the HTTP server for operator commands, metrics and dumps.
// It also sets n.orders and n.shows.
func newOperatorServer(n *Node, tokens *auth.Tokens) (*http.Server, error) {
	local := &operator.NodeOrderExecutor{
		Leaving: n.control.leaving,
		Poison:  n.guard.Registry(),
		Stop:    n.requestDrain,
		Now:     time.Now,
	}
	n.orders = operator.NewOrderService(local)
	registry := n.tables()
	n.shows = operator.NewShowService(tables.Schema(), registry)
	runner := operator.NewRunner(operator.Options{
		Schema:       tables.Schema(),
		Tables:       registry,
		RowCollector: operator.NewRowCollector(n.members, n.peers, n.shows),
		Explainer:    explain.NewCollector(n.journal, n.members, n.peers),
		Editor:       n.control.manager,
		Orders:       operator.NewOrderSender(n.members, n.peers, n.orders),
		Upstreams:    n.control.view,
		Dumper:       dumper{node: n},
		Journal:      n.journal,
	})
	mux, err := operator.NewMux(runner, tokens, n.metrics)
	if err != nil {
		return nil, err
	}
	return &http.Server{
		Handler: mux, ReadHeaderTimeout: operatorHeaderTimeout, IdleTimeout: operatorIdleTimeout,
		MaxHeaderBytes: maxOperatorHeaderBytes, ConnState: ingress.OnState,
	}, nil
}

// tables returns the tables of the show command.
func (n *Node) tables() *tables.Registry {
	registry := tables.NewRegistry()
	tables.ProvideNodes(registry, n.members)
	tables.ProvideUpstreams(registry, n.control.view)
	tables.ProvideRequests(registry, n.dispatcher.Records)
	tables.ProvideConfiguration(registry, n.control.manager, n.control.view, n.staleReason)
	tables.ProvideChanges(registry, n.control.manager.RecentChanges, n.control.manager)
	tables.ProvideDrains(registry, n.control.manager, n.control.view)
	tables.ProvidePoison(registry, n.guard.Registry())
	var rollouts func() []capacity.Rollout
	if n.control.capacity != nil {
		rollouts = n.control.capacity.reconciler.Rollouts
	}
	tables.ProvideLeases(registry, map[string]tables.LeaseView{capacity.LeaseName: n.control.lease()})
	tables.ProvideRollouts(registry, rollouts)
	return registry
}

// staleReason returns the reason why the configuration may be out of date, or "".
func (n *Node) staleReason() string {
	reason, stale := n.control.stale()
	if !stale {
		return ""
	}
	return reason
}
