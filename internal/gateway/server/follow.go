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
	// followBackoff bounds the pause between two tries to reach the store: a
	// configuration must be in force within about two seconds of its change.
	followBackoff = 500 * time.Millisecond
	// watchersPerDomain is how many nodes of a failure domain follow the store; the
	// others hear from them. One is enough: those of other domains stand in.
	watchersPerDomain = 1
	// standIns is how many nodes of a failure domain follow the store while nobody hears
	// it, and standInTime for how long they alone try: a site that loses the store should
	// not press it with all its nodes.
	standIns    = 3
	standInTime = 6 * time.Second
	// watcherInterval is how often a node that follows the store tells of itself.
	watcherInterval = 300 * time.Millisecond
	// minWatchers is how many nodes follow the store at least.
	minWatchers = 3
	// joinTime is how long a process that starts leaves it to the first of the
	// registered nodes to follow the store: after it, those that live are heard. Else all
	// nodes of a site that starts would follow it, and see all its replicas start.
	joinTime = 800 * time.Millisecond
	// roleInterval is how often a node looks whether it has to follow the store.
	roleInterval = 150 * time.Millisecond
	// roleKept is for how long a node goes on following that has not to any more: as
	// long as the node that follows instead may take to be heard again after lost messages.
	roleKept = 2 * time.Second
)

// watchWhileNeeded follows the store as long as this node is one of the watchers or
// hears none that does.
func (g *Gateway) watchWhileNeeded(ctx context.Context) {
	var stop context.CancelFunc
	var needed, told time.Time
	for ctx.Err() == nil {
		now := time.Now()
		if g.mustWatch() {
			needed = now
		}
		switch {
		case stop == nil && needed.Equal(now):
			var watch context.Context
			watch, stop = context.WithCancel(ctx)
			g.watching.Store(true)
			g.logger.Info("following the store")
			go g.follow(watch)
		case stop != nil && now.Sub(needed) > roleKept:
			stop()
			stop = nil
			g.watching.Store(false)
			g.logger.Info("following other nodes")
		}
		if stop != nil && now.Sub(told) >= watcherInterval {
			told = now
			g.exchange.Now()
		}
		wait.For(ctx, roleInterval)
	}
	if stop != nil {
		stop()
	}
}

// mustWatch reports whether this node has to follow the store itself.
func (g *Gateway) mustWatch() bool {
	own := watchCandidate{g.settings.Node, g.settings.LinkMbps}
	var all, near []watchCandidate
	domains := map[string]bool{g.settings.FailureDomain: true}
	heard := false
	for _, p := range g.table.Alive() {
		if p.Leaving {
			continue
		}
		other := watchCandidate{p.Node, p.LinkMbps}
		all = append(all, other)
		domains[p.Domain] = true
		if p.Domain == g.settings.FailureDomain {
			near = append(near, other)
		}
		heard = heard || g.hearsStore(p)
	}
	switch {
	case !heard && time.Since(g.started) < joinTime:
		return g.firstRegistered()
	case !heard:
		return own.isAmong(near, standIns) || g.upstreams.Age() > standInTime
	case g.leaving.Load():
		return false
	}
	return own.isAmong(near, watchersPerDomain) || (len(domains) < minWatchers && own.isAmong(all, minWatchers))
}

// watchCandidate is a node that may follow the store for others. It hands on to them
// what it hears, so a fast link comes first.
type watchCandidate struct {
	node     string
	linkMbps float64
}

// isAmong reports whether the candidate comes among the first n of itself and others.
func (c watchCandidate) isAmong(others []watchCandidate, n int) bool {
	for _, other := range others {
		if other.before(c) {
			n--
		}
	}
	return n > 0
}

func (c watchCandidate) before(other watchCandidate) bool {
	return cmp.Or(
		cmp.Compare(other.linkMbps, c.linkMbps),
		cmp.Compare(rendezvous.Score(watchRole, other.node), rendezvous.Score(watchRole, c.node)),
		cmp.Compare(c.node, other.node),
	) < 0
}

// firstRegistered reports whether this node comes first among the registered ones;
// it is false before it has registered.
func (g *Gateway) firstRegistered() bool {
	others := g.nodes.Others()
	if !g.nodes.Listed() {
		return false
	}
	names := slices.Collect(maps.Keys(others))
	return rendezvous.InFirst(watchRole, g.settings.Node, names, minWatchers)
}

// watchRole is the key by which the watchers are chosen.
const watchRole = "watch"

// readOnce reads the configuration and the upstreams once, so that a process that
// starts serves before it hears the nodes that follow the store.
func (g *Gateway) readOnce(ctx context.Context) {
	object, err := g.store.Get(ctx, platform.KindConfig, platform.ConfigName)
	if err == nil {
		g.offerConfig(object)
		g.configuration.Confirm(time.Now())
	}
	list, err2 := g.store.List(ctx, platform.KindUpstreams)
	if err2 == nil {
		g.changeUpstreams(func() { g.upstreams.Replace(list) })
	}
	if err = errors.CombineErrors(err, err2); err != nil {
		g.logger.Warn("store not read at the start", "error", err)
	}
}

// follow follows the configuration and the upstreams in the store until ctx ends.
func (g *Gateway) follow(ctx context.Context) {
	configs := &objects.Follower{
		Store: g.store, Kind: platform.KindConfig, MaxBackoff: followBackoff,
		Object: g.offerConfig,
		Listed: func(list objects.List) {
			for _, object := range list.Items {
				g.offerConfig(object)
			}
			g.configuration.Confirm(time.Now())
		},
		Alive:  func(objects.Version) { g.configuration.Confirm(time.Now()) },
		Failed: g.storeFailed("configuration"),
	}
	upstreams := &objects.Follower{
		Store: g.store, Kind: platform.KindUpstreams, MaxBackoff: followBackoff,
		Object:  func(object objects.Object) { g.changeUpstreams(func() { g.upstreams.Put(object) }) },
		Deleted: func(object objects.Object) { g.changeUpstreams(func() { g.upstreams.Remove(object) }) },
		Listed:  func(list objects.List) { g.changeUpstreams(func() { g.upstreams.Replace(list) }) },
		Alive:   g.upstreams.Contact,
		Failed:  g.storeFailed("upstreams"),
	}
	var both sync.WaitGroup
	both.Go(func() { configs.Run(ctx) })
	both.Go(func() { upstreams.Run(ctx) })
	both.Wait()
}

func (g *Gateway) offerConfig(object objects.Object) {
	if object.Metadata.Name == platform.ConfigName && g.configuration.Offer(object.Spec, "store") {
		g.exchange.Now()
	}
}

// changeUpstreams makes a change of the upstreams and tells the other nodes if it was one.
func (g *Gateway) changeUpstreams(change func()) {
	before, sequence := g.upstreams.View(), g.upstreams.Sequence()
	change()
	g.notices.compare(before, g.upstreams.View())
	if g.upstreams.Sequence() != sequence {
		g.exchange.Now()
	}
}

// storeFailed logs why following ended for now.
func (g *Gateway) storeFailed(what string) func(error) {
	return func(err error) {
		g.logger.Warn("store not followed", "what", what, "error", err,
			"config", g.configuration.Version(), "config_age", g.configuration.Age(time.Now()), "upstreams_age", g.upstreams.Age())
	}
}
