package relay

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/platform/objects"
)

// WatchersPerDomain is how many nodes of a failure domain watch the store.
const WatchersPerDomain = 3

// watchersOf returns the members of a failure domain that watch, first choice first.
func watchersOf(members []membership.Member, domain ident.FailureDomain) []membership.Member {
	var out []membership.Member
	for _, m := range members {
		if m.FailureDomain == domain && m.Usable() {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b membership.Member) int {
		byHash := cmp.Compare(xxhash.Sum64String(string(a.Incarnation)), xxhash.Sum64String(string(b.Incarnation)))
		if byHash != 0 {
			return byHash
		}
		return cmp.Compare(a.Incarnation, b.Incarnation)
	})
	return out[:min(len(out), WatchersPerDomain)]
}

// Watching reports whether this node is one of its failure domain's watchers.
func (r *Relay) Watching() bool {
	return r.isWatcher()
}

// isWatcher reports whether this node is one of its domain's watchers.
func (r *Relay) isWatcher() bool {
	self := r.options.View.Self()
	for _, m := range watchersOf(r.options.View.Members(), self.FailureDomain) {
		if m.Incarnation == self.Incarnation {
			return true
		}
	}
	return false
}

// watchWhenChosen watches a kind for as long as this node is one of its domain's watchers.
func (r *Relay) watchWhenChosen(ctx context.Context, kind objects.Kind) {
	var cancel context.CancelFunc
	var done chan struct{}
	ticker := time.NewTicker(watchCheckInterval)
	defer ticker.Stop()
	for {
		chosen := r.isWatcher()
		if chosen && cancel == nil {
			var watching context.Context
			watching, cancel = context.WithCancel(ctx)
			done = make(chan struct{})
			go func() { defer close(done); r.follow(watching, kind) }()
		}
		if !chosen && cancel != nil {
			cancel()
			<-done
			cancel = nil
		}
		select {
		case <-ctx.Done():
			if cancel != nil {
				cancel()
				<-done
			}
			return
		case <-ticker.C:
		}
	}
}

// follow watches a kind until ctx ends.
func (r *Relay) follow(ctx context.Context, kind objects.Kind) {
	follower := objects.Follower{
		Store:  r.options.Store,
		Kind:   kind,
		Object: r.Offer,
		Alive:  func(objects.Version) { r.provedKind(kind) },
		Failed: func(err error) { r.options.Logger.Warn("store watch ended", "kind", kind, "error", err) },
	}
	follower.Run(ctx)
}
