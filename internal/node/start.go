package node

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/intake"
	"mangoledge.example/mangoledge/internal/placement"
)

// Start opens the listeners and starts all background work, which runs until ctx ends
// or the node is stopped by Drain, Reclaim or Abandon.
func (n *Node) Start(ctx context.Context) error {
	ctx, n.stop = context.WithCancel(ctx)
	peers, err := listen(ctx, "peerListen", n.settings.PeerListen, n.ingress.peers)
	if err != nil {
		return err
	}
	callers, err := n.listenExternal(ctx, "callerListen", n.settings.CallerListen, n.ingress.callers)
	if err != nil {
		return err
	}
	operators, err := n.listenExternal(ctx, "operatorListen", n.settings.OperatorListen, n.ingress.operators)
	if err != nil {
		return err
	}
	n.members.Start(ctx)
	n.dispatcher.Start()
	n.control.start(ctx)
	n.serve("peers", func() error { return n.peerServer.Serve(peers, n.peerTLS) })
	n.serve("callers", func() error { return n.entry.Serve(callers) })
	n.serve("operators", func() error { return n.operator.Serve(operators) })
	n.loop(ctx, updateInterval, func() { n.router.Update(time.Now()) })
	n.loop(ctx, intake.SweepInterval, n.intake.Sweep)
	n.loop(ctx, placement.RenewInterval, func() { n.router.Renew(ctx, time.Now()) })
	n.loop(ctx, observeInterval, func() { n.observer.Poll(ctx) })
	n.loop(ctx, expireInterval, func() { n.witness.Expire(time.Now(), witnessRetention) })
	n.logger.Info("started", "callers", n.settings.CallerListen, "peers", n.settings.PeerListen)
	return nil
}

// serve runs a server in the background; an unexpected error is sent to failures.
func (n *Node) serve(name string, run func() error) {
	n.running.Add(1)
	go func() {
		defer n.running.Done()
		err := run()
		if err != nil && !errors.Is(err, http.ErrServerClosed) {
			n.failures <- errors.Wrap(err, name)
		}
	}()
}

// loop runs step in the background, immediately and then at every interval until ctx ends.
func (n *Node) loop(ctx context.Context, interval time.Duration, step func()) {
	n.running.Add(1)
	go func() {
		defer n.running.Done()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			step()
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	}()
}
