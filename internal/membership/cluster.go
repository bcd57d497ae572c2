package membership

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Cluster is this node's part in the membership of its site.
//
// Lock order: Cluster.mu, then notifier.mu. No datagram is sent and no callback
// runs while either is held.
type Cluster struct {
	options  Options
	core     *core
	notifier *notifier
	counters *counters

	mu       sync.Mutex
	snapshot atomic.Pointer[[]Member]
	outdated atomic.Bool
	dead     chan struct{}
	deadOnce sync.Once
	stop     chan struct{}
	stopOnce sync.Once
	running  sync.WaitGroup
}

var _ View = (*Cluster)(nil)

// New returns a member that knows only itself; Start lets it join.
func New(options Options) *Cluster {
	options.fillDefaults()
	self := recordOf(options.Self)
	c := &Cluster{
		options:  options,
		core:     newCore(self, without(options.Seeds, self.Details.PeerAddress), options.Token, options.Timing, options.Rand, options.Now()),
		notifier: newNotifier(),
		counters: newCounters(options.Metrics),
		dead:     make(chan struct{}),
		stop:     make(chan struct{}),
	}
	c.core.changed = nil
	c.refresh()
	return c
}

func without(addresses []string, own string) []string {
	return slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == own })
}

// Start joins the site and takes part until Stop is called or ctx ends.
func (c *Cluster) Start(ctx context.Context) {
	c.running.Add(3)
	go func() {
		defer c.running.Done()
		c.read()
	}()
	go func() {
		defer c.running.Done()
		c.work(ctx)
	}()
	go func() {
		defer c.running.Done()
		c.notifier.run(c.stop)
	}()
}

// Stop ends the member's goroutines and closes its connection. It tells nobody; see Leave.
// It must not be called from a callback.
func (c *Cluster) Stop() {
	c.shut()
	c.running.Wait()
}

func (c *Cluster) shut() {
	c.stopOnce.Do(func() {
		close(c.stop)
		_ = c.options.Conn.Close()
	})
}

func (c *Cluster) work(ctx context.Context) {
	ticker := time.NewTicker(c.options.Timing.Tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.shut()
			return
		case <-c.stop:
			return
		case <-ticker.C:
			c.do(func(now time.Time) { c.core.tick(now) })
		}
	}
}

func (c *Cluster) read() {
	buffer := make([]byte, maxDatagramBytes+1)
	for {
		n, from, err := c.options.Conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			if c.pauseAfterError(err) {
				return
			}
			continue
		}
		c.do(func(now time.Time) {
			c.core.stats.ReceivedBytes += uint64(n)
			c.core.stats.ReceivedDatagrams++
			c.core.receive(now, from.String(), buffer[:n])
		})
	}
}

// pauseAfterError waits a moment after a failed read and reports whether the member was stopped.
func (c *Cluster) pauseAfterError(err error) bool {
	c.options.Logger.Debug("membership: can't read a datagram", slog.Any("error", err))
	select {
	case <-c.stop:
		return true
	case <-time.After(c.options.Timing.Tick):
		return false
	}
}

// do runs one step of the core and carries out what it decided.
func (c *Cluster) do(step func(now time.Time)) {
	c.mu.Lock()
	step(c.options.Now())
	packets := c.collect()
	c.mu.Unlock()
	for _, p := range packets {
		c.transmit(p)
	}
}

// collect takes what the core decided; c.mu must be held.
func (c *Cluster) collect() []packet {
	packets := c.core.out
	c.core.out = nil
	if len(c.core.changed) > 0 {
		c.outdated.Store(true)
		for _, ch := range c.core.changed {
			c.announce(ch)
		}
		c.core.changed = nil
	}
	for _, r := range c.core.arrived {
		c.notifier.rumour(r)
	}
	c.core.arrived = nil
	if c.core.selfDead {
		c.deadOnce.Do(func() {
			c.reportDeath()
			close(c.dead)
		})
	}
	for _, p := range packets {
		c.core.stats.SentBytes += uint64(len(p.data))
		c.core.stats.SentDatagrams++
	}
	c.counters.update(&c.core.stats)
	return packets
}

// reportDeath logs why this incarnation ends; c.mu must be held.
func (c *Cluster) reportDeath() {
	own := slog.String("incarnation", string(c.core.self))
	rival, found := c.core.successorInName(c.core.self)
	if !found {
		c.options.Logger.Error("membership: this incarnation was declared dead by the other nodes", own)
		return
	}
	c.options.Logger.Error("membership: a newer process with this node's name has joined, so this incarnation is dead; "+
		"a name is for one process: end one of the two, or give it another `node` in its host's settings", own,
		slog.String("peer_address", c.options.Self.PeerAddress),
		slog.String("other_incarnation", string(rival.Incarnation)),
		slog.String("other_peer_address", rival.Details.PeerAddress),
		slog.String("settings", "node, peerAdvertise, peerListen"))
}

func (c *Cluster) announce(ch change) {
	if !ch.current.complete() {
		return
	}
	m := c.memberOf(ch.current)
	if ch.isNew || ch.before != m.State {
		c.options.Logger.Info("membership: a member's state changed",
			slog.String("member", string(m.Incarnation)), slog.String("state", m.State.String()),
			slog.String("failure_domain", string(m.FailureDomain)))
	}
	c.notifier.member(m)
}

func (c *Cluster) transmit(p packet) {
	address, err := netip.ParseAddrPort(p.address)
	if err != nil {
		c.options.Logger.Warn("membership: a peer address is no IP and port", slog.String("address", p.address))
		return
	}
	if _, err := c.options.Conn.WriteTo(p.data, net.UDPAddrFromAddrPort(address)); err != nil {
		c.options.Logger.Debug("membership: can't send a datagram", slog.Any("error", err))
	}
}

// memberOf returns the member as this node sees it.
func (c *Cluster) memberOf(e *entry) Member {
	m := e.member()
	m.Foreign = m.Protocol != c.options.Self.Protocol
	return m
}

// refresh makes the snapshot anew; c.mu must be held, but in New.
func (c *Cluster) refresh() {
	out := make([]Member, 0, len(c.core.table.entries))
	for _, e := range c.core.table.entries {
		if e.complete() {
			out = append(out, c.memberOf(e))
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(string(a.Incarnation), string(b.Incarnation)) })
	c.snapshot.Store(&out)
}
