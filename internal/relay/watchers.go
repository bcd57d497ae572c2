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

// WatchersPerDomain is the number of nodes of a failure domain that watch the store.
const WatchersPerDomain = 3

// watchersOf returns the watchers of a failure domain: the usable members whose
// incarnations have the lowest hashes, in that order. Nodes with the same list of
// members choose the same watchers.
func watchersOf(members []membership.Member, domain ident.FailureDomain) []membership.Member {
	var usable []membership.Member
	for _, m := range members {
		if m.FailureDomain == domain && m.Usable() {
			usable = append(usable, m)
		}
	}
	slices.SortFunc(usable, func(a, b membership.Member) int {
		byHash := cmp.Compare(xxhash.Sum64String(string(a.Incarnation)), xxhash.Sum64String(string(b.Incarnation)))
		if byHash != 0 {
			return byHash
		}
		return cmp.Compare(a.Incarnation, b.Incarnation)
	})
	return usable[:min(len(usable), WatchersPerDomain)]
}

// Watching reports whether this node is one of its failure domain's watchers.
func (r *Relay) Watching() bool {
	return r.isWatcher()
}

// isWatcher reports whether this node is one of its failure domain's watchers.
func (r *Relay) isWatcher() bool {
	self := r.options.View.Self()
	for _, m := range watchersOf(r.options.View.Members(), self.FailureDomain) {
		if m.Incarnation == self.Incarnation {
			return true
		}
	}
	return false
}

// watchWhileSelected watches a kind whenever this node is one of its failure domain's
// watchers.
func (r *Relay) watchWhileSelected(ctx context.Context, kind objects.Kind) {
	var cancel context.CancelFunc
	var done chan struct{}
	ticker := time.NewTicker(watchCheckInterval)
	defer ticker.Stop()
	for {
		selected := r.isWatcher()
		if selected && cancel == nil {
			var watchCtx context.Context
			watchCtx, cancel = context.WithCancel(ctx)
			done = make(chan struct{})
			go func() { defer close(done); r.watch(watchCtx, kind) }()
		}
		if !selected && cancel != nil {
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

// watch watches a kind until ctx ends.
func (r *Relay) watch(ctx context.Context, kind objects.Kind) {
	follower := objects.Follower{
		Store:      r.options.Store,
		Kind:       kind,
		OnObject:   r.Put,
		OnBookmark: func(objects.Version) { r.recordKindProof(kind) },
		OnError:    func(err error) { r.options.Logger.Warn("store watch ended", "kind", kind, "error", err) },
	}
	follower.Run(ctx)
}
