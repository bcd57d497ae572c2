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
	// distantHints is how many watchers of other failure domains a round of hints goes to.
	distantHints = 2
)

// Hint tells another node what its sender holds.
type Hint struct {
	// From is the sender's peer address, to pull from.
	From string
	// Digest is over all versions that the sender holds.
	Digest uint64
	// Proven is false when the store never proved what the sender holds.
	Proven bool
	// Age is how long ago the store proved it.
	Age time.Duration
}

// HintReply is empty.
type HintReply struct{}

// service answers other nodes.
type service struct{ relay *Relay }

// Hint takes in what another node holds.
func (s *service) Hint(hint *Hint, _ *HintReply) error {
	s.relay.takeHint(*hint)
	return nil
}

// takeHint takes over the proof when both hold the same, and pulls otherwise.
func (r *Relay) takeHint(hint Hint) {
	if hint.Digest == r.table.digest() {
		if hint.Proven {
			r.provedByHint(hint.Age)
		}
		return
	}
	if !r.beginPull() {
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

// hint is what this node tells others now.
func (r *Relay) hint() Hint {
	digest := r.table.digest()
	proof := r.Proof()
	return Hint{
		From:   r.options.View.Self().PeerAddress,
		Digest: digest,
		Proven: !proof.IsZero(),
		Age:    r.options.Clock().Sub(proof),
	}
}

// hintLoop sends hints at an interval and when something changed.
func (r *Relay) hintLoop(ctx context.Context) {
	ticker := time.NewTicker(hintInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-r.dirty:
		}
		if !r.table.empty() && r.isWatcher() {
			r.sendHints(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(hintSpacing):
		}
	}
}

// sendHints sends one round of hints.
func (r *Relay) sendHints(ctx context.Context) {
	hint := r.hint()
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

// hintTargets returns the other members of this node's domain that do not watch,
// and a few watchers of other domains.
func (r *Relay) hintTargets() []membership.Member {
	self := r.options.View.Self()
	members := r.options.View.Members()
	watching := make(map[ident.Incarnation]bool, WatchersPerDomain)
	for _, w := range watchersOf(members, self.FailureDomain) {
		watching[w.Incarnation] = true
	}
	var out, distant []membership.Member
	for _, m := range members {
		switch {
		case !m.Usable():
		case m.FailureDomain == self.FailureDomain && !watching[m.Incarnation]:
			out = append(out, m)
		case m.FailureDomain != self.FailureDomain:
			distant = append(distant, m)
		}
	}
	for range min(distantHints, len(distant)) {
		domain := distant[rand.IntN(len(distant))].FailureDomain //nolint:gosec // spreading, not a secret
		theirs := watchersOf(members, domain)
		out = append(out, theirs[rand.IntN(len(theirs))]) //nolint:gosec // spreading, not a secret
	}
	return out
}
