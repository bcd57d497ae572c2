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

// Cluster runs the membership protocol for this node within its site.
//
// Lock order: Cluster.mu, then notifier.mu. No datagram is sent and no callback runs while
// either is held.
type Cluster struct {
	options  Options
	core     *core
	notifier *notifier
	gauges   *gauges

	// mu guards core.
	mu sync.Mutex
	// snapshot is the sorted list that Members returns. It is rebuilt on the next call when
	// snapshotStale is true.
	snapshot         atomic.Pointer[[]Member]
	snapshotStale    atomic.Bool
	declaredDead     chan struct{}
	declaredDeadOnce sync.Once
	stop             chan struct{}
	shutdownOnce     sync.Once
	running          sync.WaitGroup
}

var _ View = (*Cluster)(nil)

// New returns a Cluster that knows only its own member; Start makes it join the site.
func New(options Options) *Cluster {
	options.fillDefaults()
	self := recordOf(options.Self)
	c := &Cluster{
		options:      options,
		core:         newCore(self, without(options.Seeds, self.Details.PeerAddress), options.Token, options.Timing, options.Rand, options.Now()),
		notifier:     newNotifier(),
		gauges:       newGauges(options.Metrics),
		declaredDead: make(chan struct{}),
		stop:         make(chan struct{}),
	}
	c.core.changes = nil
	c.rebuildSnapshot()
	return c
}

// without returns addresses without own.
func without(addresses []string, own string) []string {
	return slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == own })
}

// Start joins the site and runs the protocol until Stop is called or ctx ends.
func (c *Cluster) Start(ctx context.Context) {
	c.running.Add(3)
	go func() {
		defer c.running.Done()
		c.readLoop()
	}()
	go func() {
		defer c.running.Done()
		c.tickLoop(ctx)
	}()
	go func() {
		defer c.running.Done()
		c.notifier.run(c.stop)
	}()
}

// Stop ends the goroutines and closes the connection without informing other members; see
// Leave. It must not be called from a callback.
func (c *Cluster) Stop() {
	c.shutdown()
	c.running.Wait()
}

// shutdown stops the loops and closes the connection without waiting for the goroutines.
func (c *Cluster) shutdown() {
	c.shutdownOnce.Do(func() {
		close(c.stop)
		_ = c.options.Conn.Close()
	})
}

func (c *Cluster) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(c.options.Timing.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.shutdown()
			return
		case <-c.stop:
			return
		case <-ticker.C:
			c.runStep(func(now time.Time) { c.core.tick(now) })
		}
	}
}

func (c *Cluster) readLoop() {
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
		c.runStep(func(now time.Time) {
			c.core.stats.ReceivedBytes += uint64(n)
			c.core.stats.ReceivedDatagrams++
			c.core.receive(now, from.String(), buffer[:n])
		})
	}
}

// pauseAfterError logs a failed read, waits for one tick and reports whether Stop was
// called meanwhile.
func (c *Cluster) pauseAfterError(err error) bool {
	c.options.Logger.Debug("membership: cannot read datagram", slog.Any("error", err))
	select {
	case <-c.stop:
		return true
	case <-time.After(c.options.Timing.TickInterval):
		return false
	}
}

// runStep runs one step of the core under the lock, then sends the packets that it
// produced.
func (c *Cluster) runStep(step func(now time.Time)) {
	c.mu.Lock()
	step(c.options.Now())
	packets := c.takeOutput()
	c.mu.Unlock()
	for _, p := range packets {
		c.sendPacket(p)
	}
}

// takeOutput takes the core's pending packets, changes and rumours, and queues the
// callbacks. It returns the packets; c.mu must be held.
func (c *Cluster) takeOutput() []packet {
	packets := c.core.outgoing
	c.core.outgoing = nil
	if len(c.core.changes) > 0 {
		c.snapshotStale.Store(true)
		for _, ch := range c.core.changes {
			c.notifyChange(ch)
		}
		c.core.changes = nil
	}
	for _, r := range c.core.newRumours {
		c.notifier.queueRumour(r)
	}
	c.core.newRumours = nil
	if c.core.selfDead {
		c.declaredDeadOnce.Do(func() {
			c.logDeclaredDead()
			close(c.declaredDead)
		})
	}
	for _, p := range packets {
		c.core.stats.SentBytes += uint64(len(p.data))
		c.core.stats.SentDatagrams++
	}
	c.gauges.update(&c.core.stats)
	return packets
}

// logDeclaredDead logs why this incarnation ends; c.mu must be held.
func (c *Cluster) logDeclaredDead() {
	own := slog.String("incarnation", string(c.core.self))
	rival, found := c.core.newerIncarnation(c.core.self)
	if !found {
		c.options.Logger.Error("membership: this incarnation was declared dead by the other nodes", own)
		return
	}
	c.options.Logger.Error("membership: this incarnation was replaced by a newer process with the same node name; "+
		"node names must be unique: stop one of the two processes, or change `node` in its host's settings", own,
		slog.String("peer_address", c.options.Self.PeerAddress),
		slog.String("other_incarnation", string(rival.Incarnation)),
		slog.String("other_peer_address", rival.Details.PeerAddress),
		slog.String("settings", "node, peerAdvertise, peerListen"))
}

// notifyChange logs a change of a member's state and queues the member callbacks.
func (c *Cluster) notifyChange(ch change) {
	if !ch.current.complete() {
		return
	}
	m := c.memberOf(ch.current)
	if ch.isNew || ch.before != m.State {
		c.options.Logger.Info("membership: member state changed",
			slog.String("member", string(m.Incarnation)), slog.String("state", m.State.String()),
			slog.String("failure_domain", string(m.FailureDomain)))
	}
	c.notifier.queueMember(m)
}

func (c *Cluster) sendPacket(p packet) {
	address, err := netip.ParseAddrPort(p.address)
	if err != nil {
		c.options.Logger.Warn("membership: peer address is not an IP address and port", slog.String("address", p.address))
		return
	}
	if _, err := c.options.Conn.WriteTo(p.data, net.UDPAddrFromAddrPort(address)); err != nil {
		c.options.Logger.Debug("membership: cannot send datagram", slog.Any("error", err))
	}
}

// memberOf returns the member as seen by this node, with Foreign set.
func (c *Cluster) memberOf(e *entry) Member {
	m := e.member()
	m.Foreign = m.Protocol != c.options.Self.Protocol
	return m
}

// rebuildSnapshot rebuilds the sorted list that Members returns; c.mu must be held, except
// in New.
func (c *Cluster) rebuildSnapshot() {
	out := make([]Member, 0, len(c.core.table.entries))
	for _, e := range c.core.table.entries {
		if e.complete() {
			out = append(out, c.memberOf(e))
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(string(a.Incarnation), string(b.Incarnation)) })
	c.snapshot.Store(&out)
}
