package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
)

const (
	serviceName = "Relay"
	hintMethod  = serviceName + ".Hint"
	// remoteHintTargets is the number of watchers of other failure domains that a round of
	// hints is sent to.
	remoteHintTargets = 2
)

// Hint tells another node which versions its sender holds and how current they are.
type Hint struct {
	// From is the sender's peer address, which the receiver pulls from.
	From string
	// Digest is a hash of all versions that the sender holds.
	Digest uint64
	// Proven is false when the store never confirmed the sender's versions as current.
	Proven bool
	// Age is the time since the store last confirmed them.
	Age time.Duration
}

// HintReply answers Hint; it is empty.
type HintReply struct{}

// service is the net/rpc service for other nodes.
type service struct{ relay *Relay }

// Hint handles a hint of another node.
func (s *service) Hint(hint *Hint, _ *HintReply) error {
	s.relay.handleHint(*hint)
	return nil
}

// handleHint adopts the hint's proof if both nodes hold the same versions. Otherwise it
// starts a pull from the sender, unless a pull is in progress.
func (r *Relay) handleHint(hint Hint) {
	if hint.Digest == r.table.digest() {
		if hint.Proven {
			r.recordProofFromHint(hint.Age)
		}
		return
	}
	if !r.tryBeginPull() {
		return
	}
	go func() {
		defer r.endPull()
		ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
		defer cancel()
		if err := r.pull(ctx, hint.From); err != nil {
			r.options.Logger.Debug("pull failed", "from", hint.From, "error", err)
		}
	}()
}

// newHint returns a hint of this node's current state.
func (r *Relay) newHint() Hint {
	digest := r.table.digest()
	proof := r.ProvenAt()
	return Hint{
		From:   r.options.View.Self().PeerAddress,
		Digest: digest,
		Proven: !proof.IsZero(),
		Age:    r.options.Clock().Sub(proof),
	}
}

// hintLoop sends hints at an interval and when an object has changed, if this node is a
// watcher.
func (r *Relay) hintLoop(ctx context.Context) {
	ticker := time.NewTicker(hintInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.changed:
		}
		if !r.table.empty() && r.isWatcher() {
			r.sendHints(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(minHintSpacing):
		}
	}
}

// sendHints sends a hint to all hint targets.
func (r *Relay) sendHints(ctx context.Context) {
	hint := r.newHint()
	ctx, cancel := context.WithTimeout(ctx, hintTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(maxParallelHints)
	for _, m := range r.hintTargets() {
		group.Go(func() error {
			_ = r.options.Peers.Call(ctx, m.PeerAddress, hintMethod, &hint, &HintReply{}) // the next round repeats it
			return nil
		})
	}
	_ = group.Wait()
}

// hintTargets returns the members of this node's failure domain that are not watchers,
// and a few randomly chosen watchers of other failure domains.
func (r *Relay) hintTargets() []membership.Member {
	self := r.options.View.Self()
	members := r.options.View.Members()
	watching := make(map[ident.Incarnation]bool, WatchersPerDomain)
	for _, w := range watchersOf(members, self.FailureDomain) {
		watching[w.Incarnation] = true
	}
	var targets, remote []membership.Member
	for _, m := range members {
		switch {
		case !m.Usable():
		case m.FailureDomain == self.FailureDomain && !watching[m.Incarnation]:
			targets = append(targets, m)
		case m.FailureDomain != self.FailureDomain:
			remote = append(remote, m)
		}
	}
	for range min(remoteHintTargets, len(remote)) {
		domain := remote[rand.IntN(len(remote))].FailureDomain //nolint:gosec // spreading, not a secret
		watchers := watchersOf(members, domain)
		targets = append(targets, watchers[rand.IntN(len(watchers))]) //nolint:gosec // spreading, not a secret
	}
	return targets
}
