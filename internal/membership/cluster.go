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

	"mangoledge.example/mangoledge/internal/ident"
)

// leaveRounds is for how many rounds of news a leaving member waits until the others have heard of it.
const leaveRounds = 6

var (
	// ErrSuccessorNamed is returned when another successor was named before.
	ErrSuccessorNamed = errors.New("a successor was named before, and there is one for ever")
	// ErrDeclaredDead is returned to an incarnation that was declared dead.
	ErrDeclaredDead = errors.New("this incarnation was declared dead")
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
			c.options.Logger.Error("membership: this incarnation was declared dead by the other nodes",
				slog.String("incarnation", string(c.core.self)))
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

func (c *Cluster) announce(ch change) {
	if !ch.current.complete() {
		return
	}
	m := ch.current.member()
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

// refresh makes the snapshot anew; c.mu must be held, but in New.
func (c *Cluster) refresh() {
	out := make([]Member, 0, len(c.core.table.entries))
	for _, e := range c.core.table.entries {
		if e.complete() {
			out = append(out, e.member())
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(string(a.Incarnation), string(b.Incarnation)) })
	c.snapshot.Store(&out)
}

// Self implements View.
func (c *Cluster) Self() Member {
	m, _ := c.Lookup(c.options.Self.Incarnation)
	return m
}

// Members implements View. Dead and left members are in it for as long as they are remembered.
func (c *Cluster) Members() []Member {
	if c.outdated.Load() {
		c.mu.Lock()
		c.outdated.Store(false)
		c.refresh()
		c.mu.Unlock()
	}
	return *c.snapshot.Load()
}

// Lookup implements View.
func (c *Cluster) Lookup(incarnation ident.Incarnation) (Member, bool) {
	members := c.Members()
	i, found := slices.BinarySearchFunc(members, incarnation, func(m Member, wanted ident.Incarnation) int {
		return strings.Compare(string(m.Incarnation), string(wanted))
	})
	if !found {
		return Member{}, false
	}
	return members[i], true
}

// OnChange has f called, one call at a time, with each member that changes from now on.
func (c *Cluster) OnChange(f func(Member)) {
	c.notifier.onMember(f)
}

// DeclaredDead is closed when this incarnation finds that it was declared dead.
// The process then takes a new incarnation, by NextIncarnation and a new Cluster, or ends.
func (c *Cluster) DeclaredDead() <-chan struct{} {
	return c.dead
}

// NextIncarnation makes an incarnation of this node that is newer than all that are known of it.
func (c *Cluster) NextIncarnation() ident.Incarnation {
	c.mu.Lock()
	defer c.mu.Unlock()
	node := c.core.self.Node()
	start := c.options.Now()
	next := ident.NewIncarnation(node, start)
	for newest, ok := c.core.newestOf(node); ok && !next.NewerThan(newest); {
		start = start.Add(time.Second)
		next = ident.NewIncarnation(node, start)
	}
	return next
}

// SetLeaving tells the others that this member takes no new duties. It can't be taken back.
func (c *Cluster) SetLeaving() {
	c.do(func(now time.Time) {
		own := c.core.table.entries[c.core.self].record
		own.Draining = true
		c.core.learn(now, own, 0)
	})
}

// SetSuccessor names the incarnation that took over this member's witness table.
// It returns ErrSuccessorNamed when another was named before, and ErrDeclaredDead.
func (c *Cluster) SetSuccessor(successor ident.Incarnation) error {
	return c.end(successor, finalNone)
}

// Leave tells the others that this member leaves and who took over its witness
// table, if anybody did, and waits until they had time to hear it or ctx ends.
// Stop has to be called after it. It returns the errors of SetSuccessor.
func (c *Cluster) Leave(ctx context.Context, successor ident.Incarnation) error {
	if err := c.end(successor, finalLeft); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-c.stop:
	case <-time.After(leaveRounds * c.options.Timing.Gossip):
	}
	return nil
}

func (c *Cluster) end(successor ident.Incarnation, final finality) error {
	var err error
	c.do(func(now time.Time) {
		own := c.core.table.entries[c.core.self].record
		switch {
		case c.core.selfDead:
			err = ErrDeclaredDead
		case successor != "" && own.Successor != "" && own.Successor != successor:
			err = ErrSuccessorNamed
		default:
			own.Draining = true
			own.Successor = joinSuccessor(own.Successor, successor)
			own.Final = max(own.Final, final)
			c.core.learn(now, own, 0)
		}
	})
	return err
}

// Publish spreads a rumour to all members and keeps it until its topic's life is
// over. Only a version higher than the one known is spread. Subscribers on this
// node are not called. It returns ErrRumourTooLarge.
func (c *Cluster) Publish(topic Topic, key string, version uint64, payload []byte) error {
	r := Rumour{Topic: topic, Key: key, Version: version, Payload: slices.Clone(payload)}
	if err := r.check(); err != nil {
		return err
	}
	c.do(func(now time.Time) {
		if c.core.rumours.join(now, r, topic.life()) {
			c.core.pushRumour(r)
		}
	})
	return nil
}

// Subscribe has f called, one call at a time, with the rumours of topic that are
// known and with each that arrives later.
func (c *Cluster) Subscribe(topic Topic, f func(Rumour)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notifier.onRumour(topic, f)
	for _, held := range c.core.rumours.held {
		if held.Topic == topic {
			c.notifier.rumourFor(held.Rumour, f)
		}
	}
}

// Stats returns what this member has counted.
func (c *Cluster) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.stats
}
