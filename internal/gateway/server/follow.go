package server

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/platform/objects"
	"mangoledge.example/mangoledge/internal/rendezvous"
	"mangoledge.example/mangoledge/internal/wait"
	"mangoledge.example/mangoledge/platform"
)

const (
	// maxStoreBackoff bounds the pause between two attempts to reach the store: a configuration
	// must be in force within about 2 s of its change.
	maxStoreBackoff = 500 * time.Millisecond
	// watchersPerDomain is how many nodes of a failure domain watch the store; the others take
	// updates from them. One is enough, because watchers of other domains can replace it.
	watchersPerDomain = 1
	// fallbackWatchersPerDomain is how many nodes of a failure domain try to watch the store while
	// no node reaches it, and fallbackPeriod how long only they try: a site that loses the store
	// should not load it with requests from all nodes.
	fallbackWatchersPerDomain = 3
	fallbackPeriod            = 6 * time.Second
	// watcherMessageInterval is how often a node that watches the store sends a message to the
	// others.
	watcherMessageInterval = 300 * time.Millisecond
	// minWatchers is the minimum number of nodes that watch the store.
	minWatchers = 3
	// startupListenTime is how long a starting process leaves watching the store to the first
	// minWatchers of the registered nodes; after that time it has heard from the live nodes.
	// Otherwise all nodes of a starting site would watch the store and each receive the start of
	// every replica.
	startupListenTime = 800 * time.Millisecond
	// startupSettleTime is how long a starting process waits before it ranks itself among the
	// registered nodes: each of many that start together finds only those that registered before
	// it, and hears from the others within this time.
	startupSettleTime = 400 * time.Millisecond
	// watchCheckInterval is how often a node checks whether it has to watch the store.
	watchCheckInterval = 150 * time.Millisecond
	// watchHoldTime is how long a node goes on watching after it no longer has to. When messages
	// are lost, it may take that long until the node that watches instead is heard from again.
	watchHoldTime = 2 * time.Second
)

// watchWhileNeeded watches the store while this node is one of the watchers or hears from none.
func (g *Gateway) watchWhileNeeded(ctx context.Context) {
	var stop context.CancelFunc
	var lastNeeded, announcedAt time.Time
	for ctx.Err() == nil {
		now := time.Now()
		if g.mustWatch() {
			lastNeeded = now
		}
		switch {
		case stop == nil && lastNeeded.Equal(now):
			var watch context.Context
			watch, stop = context.WithCancel(ctx)
			g.watchingStore.Store(true)
			g.logger.Info("following the store")
			go g.followStore(watch)
		case stop != nil && now.Sub(lastNeeded) > watchHoldTime:
			stop()
			stop = nil
			g.watchingStore.Store(false)
			g.logger.Info("following other nodes")
		}
		if stop != nil && now.Sub(announcedAt) >= watcherMessageInterval {
			announcedAt = now
			g.exchange.SendNow()
		}
		wait.For(ctx, watchCheckInterval)
	}
	if stop != nil {
		stop()
	}
}

// mustWatch reports whether this node has to watch the store itself.
func (g *Gateway) mustWatch() bool {
	own := watchCandidate{g.settings.Node, g.settings.LinkMbps}
	var all, near []watchCandidate
	domains := map[string]bool{g.settings.FailureDomain: true}
	heard := false
	for _, p := range g.peerTable.Alive() {
		if p.Leaving {
			continue
		}
		other := watchCandidate{p.Node, p.LinkMbps}
		all = append(all, other)
		domains[p.FailureDomain] = true
		if p.FailureDomain == g.settings.FailureDomain {
			near = append(near, other)
		}
		heard = heard || g.isFreshWatcher(p)
	}
	switch {
	case !heard && time.Since(g.startedAt) < startupListenTime:
		return g.isFirstRegistered(watchKey, minWatchers)
	case !heard:
		return own.ranksInTop(near, fallbackWatchersPerDomain) || g.upstreams.Age() > fallbackPeriod
	case g.leaving.Load():
		return false
	}
	return own.ranksInTop(near, watchersPerDomain) || (len(domains) < minWatchers && own.ranksInTop(all, minWatchers))
}

// watchCandidate is a node that may watch the store for others. It passes on what it receives, so
// nodes with fast links rank first.
type watchCandidate struct {
	node     string
	linkMbps float64
}

// ranksInTop reports whether c ranks among the first n of itself and others.
func (c watchCandidate) ranksInTop(others []watchCandidate, n int) bool {
	for _, other := range others {
		if other.ranksBefore(c) {
			n--
		}
	}
	return n > 0
}

// ranksBefore reports whether c ranks before other: by link speed, then by rendezvous score, then
// by name.
func (c watchCandidate) ranksBefore(other watchCandidate) bool {
	return cmp.Or(
		cmp.Compare(other.linkMbps, c.linkMbps),
		cmp.Compare(rendezvous.Score(watchKey, other.node), rendezvous.Score(watchKey, c.node)),
		cmp.Compare(c.node, other.node),
	) < 0
}

// isFirstRegistered reports whether this node ranks among the first n of the registered nodes for a
// rendezvous key. It is false until the registered nodes were listed and startupSettleTime is over.
func (g *Gateway) isFirstRegistered(key string, n int) bool {
	if !g.nodeRegistry.HasListed() || time.Since(g.startedAt) < startupSettleTime {
		return false
	}
	return rendezvous.IsInTopN(key, g.settings.Node, slices.Collect(maps.Keys(g.nodeRegistry.Others())), n)
}

// watchKey is the rendezvous key that ranks candidates for watching the store.
const watchKey = "watch"

// loadInitialState reads the configuration and the upstreams once, so that a starting process can
// serve before it hears from a node that watches the store.
func (g *Gateway) loadInitialState(ctx context.Context) {
	object, err := g.store.Get(ctx, platform.KindConfig, platform.ConfigName)
	if err == nil {
		g.offerConfig(object)
		g.configuration.ConfirmCurrent(time.Now())
	}
	err = errors.CombineErrors(err, g.loadRollouts(ctx))
	list, err2 := g.store.List(ctx, platform.KindUpstreams)
	if err2 == nil {
		g.applyUpstreamChange(func() { g.upstreams.Replace(list) })
	}
	if err = errors.CombineErrors(err, err2); err != nil {
		g.logger.Warn("initial read of the store failed", "error", err)
	}
}

// followStore watches the configuration and the upstreams in the store until ctx ends.
func (g *Gateway) followStore(ctx context.Context) {
	configs := &objects.Follower{
		Store: g.store, Kind: platform.KindConfig, MaxBackoff: maxStoreBackoff,
		OnObject: g.offerConfig,
		OnList: func(list objects.List) {
			for _, object := range list.Items {
				g.offerConfig(object)
			}
			g.configuration.ConfirmCurrent(time.Now())
		},
		OnBookmark: func(objects.Version) { g.configuration.ConfirmCurrent(time.Now()) },
		OnError:    g.logStoreFailure("configuration"),
	}
	upstreams := &objects.Follower{
		Store: g.store, Kind: platform.KindUpstreams, MaxBackoff: maxStoreBackoff,
		OnObject:   func(object objects.Object) { g.applyUpstreamChange(func() { g.upstreams.Put(object) }) },
		OnDeleted:  func(object objects.Object) { g.applyUpstreamChange(func() { g.upstreams.Remove(object) }) },
		OnList:     func(list objects.List) { g.applyUpstreamChange(func() { g.upstreams.Replace(list) }) },
		OnBookmark: g.upstreams.RecordContact,
		OnError: func(err error) {
			if objects.KindOf(err) != objects.KindCompacted { // which is an answer
				g.upstreams.RecordFailure()
			}
			g.logStoreFailure("upstreams")(err)
		},
	}
	var all sync.WaitGroup
	all.Go(func() { configs.Run(ctx) })
	all.Go(func() { upstreams.Run(ctx) })
	if g.rollouts != nil {
		all.Go(func() { g.rolloutFollower().Run(ctx) })
	}
	all.Wait()
}

// offerConfig offers an object from the store as the new configuration and notifies the other
// nodes if it was accepted.
func (g *Gateway) offerConfig(object objects.Object) {
	if object.Metadata.Name == platform.ConfigName && g.configuration.ApplyIfNewer(object.Spec, "store") {
		g.exchange.SendNow()
	}
}

// applyUpstreamChange runs change and notifies the other nodes if it changed any upstream.
func (g *Gateway) applyUpstreamChange(change func()) {
	before, sequence := g.upstreams.View(), g.upstreams.Sequence()
	change()
	g.reclaimNotices.record(before, g.upstreams.View())
	if g.upstreams.Sequence() != sequence {
		g.exchange.SendNow()
	}
}

// logStoreFailure returns a function that logs why a watch of the store was interrupted.
func (g *Gateway) logStoreFailure(what string) func(error) {
	return func(err error) {
		g.logger.Warn("store not followed", "what", what, "error", err,
			"config", g.configuration.Version(), "config_age", g.configuration.Age(time.Now()), "upstreams_age", g.upstreams.Age())
	}
}
