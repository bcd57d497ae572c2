package membership

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"mangoledge.example/mangoledge/internal/ident"
)

const (
	// gossipFanout is the number of members that one gossip round sends to.
	gossipFanout = 3
	// maxGossipDatagrams is the most datagrams that one gossip round sends to each member.
	maxGossipDatagrams = 8
	// indirectProbes is the number of members that are asked to probe one that does not
	// answer.
	indirectProbes = 3
	// broadcastBytesPerSecond is the long-term rate limit of broadcasts.
	broadcastBytesPerSecond = 4500
	// broadcastBurstBytes is how many bytes of broadcasts may be sent at once after a
	// period without any.
	broadcastBurstBytes = 512 << 10
	// joinSyncInterval is the time between two syncs while the node is still joining.
	joinSyncInterval = 250 * time.Millisecond
	// extraSyncInterval is the mean time between the extra syncs after an update arrived.
	extraSyncInterval = time.Second
	// extraSyncsPerUpdate is the number of extra syncs after an update arrived.
	extraSyncsPerUpdate = 2
)

// packet is a datagram to be sent to address.
type packet struct {
	address string
	data    []byte
}

// probe is a ping that has not been acknowledged yet.
type probe struct {
	target ident.Incarnation
	sentAt time.Time
	// indirect is true once the ping was repeated after Timing.DirectTimeout: directly and,
	// unless the target is suspected, through other members.
	indirect bool
}

// relay is a ping sent on behalf of another member: address and seq are those of the
// request.
type relay struct {
	address string
	seq     uint32
	sentAt  time.Time
}

// core is the state machine of the membership protocol. It uses no sockets, goroutines or
// clocks: time, datagrams and randomness are passed in, and packets to send are left in
// outgoing. It is not safe for concurrent use; Cluster.mu guards it.
type core struct {
	timing        Timing
	self          ident.Incarnation
	seeds         []string
	authenticator *authenticator
	random        *rand.Rand
	table         *table
	rumours       *rumourStore
	broadcasts    *broadcastQueue
	limiter       *rate.Limiter

	// seq is the sequence number of the last ping.
	seq uint32
	// probes and relays are the pings without an ack yet, by sequence number.
	probes map[uint32]*probe
	relays map[uint32]relay
	// probeOrder lists the members that are probed next.
	probeOrder []ident.Incarnation

	lastTick   time.Time
	nextProbe  time.Time
	nextGossip time.Time
	nextSync   time.Time
	nextRejoin time.Time
	// extraSyncs is the number of extra syncs still to be started.
	extraSyncs int
	// joined is true if there are no seeds or the last sync left no items unsent.
	joined bool
	// selfDead is true once this incarnation was declared dead; ticks and datagrams are
	// then ignored.
	selfDead bool
	// deathsUncertain is set once this member declared another dead while it was in a
	// minority of its region, or declared a member of another region dead.
	deathsUncertain bool

	// outgoing, changes and newRumours are taken by Cluster.takeOutput after each step.
	outgoing   []packet
	changes    []change
	newRumours []Rumour
	stats      Stats
}

func newCore(self record, seeds []string, token string, timing Timing, random *rand.Rand, now time.Time) *core {
	c := &core{
		timing:        timing,
		self:          self.Incarnation,
		seeds:         seeds,
		authenticator: newAuthenticator(token),
		random:        random,
		table:         newTable(timing.Retention),
		rumours:       newRumourStore(),
		broadcasts:    newBroadcastQueue(),
		limiter:       rate.NewLimiter(broadcastBytesPerSecond, broadcastBurstBytes),
		probes:        make(map[uint32]*probe),
		relays:        make(map[uint32]relay),
	}
	c.lastTick = now
	c.nextProbe = now.Add(time.Duration(random.Int64N(int64(timing.ProbeInterval))))
	c.nextGossip = now
	c.nextSync = now
	c.nextRejoin = now
	c.joined = len(seeds) == 0
	c.applyRecord(now, self, 0)
	return c
}

// tick runs everything that is due at now.
func (c *core) tick(now time.Time) {
	c.handlePause(now)
	if c.selfDead {
		return
	}
	c.checkProbes(now)
	c.checkSuspicions(now)
	if due(&c.nextProbe, now, c.timing.ProbeInterval) {
		c.probeNext(now)
	}
	if due(&c.nextGossip, now, c.timing.GossipInterval) {
		c.gossip(now)
	}
	if !now.Before(c.nextSync) {
		c.nextSync = now.Add(c.syncInterval())
		c.syncWithOne(now)
	}
	if due(&c.nextRejoin, now, c.timing.RejoinInterval) {
		c.rejoin(now)
		c.table.removeExpired(now)
		c.rumours.removeExpired(now)
	}
}

// due reports whether the time next has come and, if so, advances it by interval.
func due(next *time.Time, now time.Time, interval time.Duration) bool {
	if now.Before(*next) {
		return false
	}
	*next = next.Add(interval)
	if next.Before(now) {
		*next = now.Add(interval)
	}
	return true
}

// handlePause extends all running timeouts by the time for which this process was
// suspended, since others may have answered meanwhile. After a pause of at least
// Timing.MaxPause the process regards itself as declared dead.
func (c *core) handlePause(now time.Time) {
	gap := now.Sub(c.lastTick) - c.timing.TickInterval
	c.lastTick = now
	if gap >= c.timing.MaxPause {
		c.declareSelfDead()
		return
	}
	if gap < c.timing.TickInterval {
		return
	}
	c.stats.Pauses++
	for _, p := range c.probes {
		p.sentAt = p.sentAt.Add(gap)
	}
	for _, e := range c.table.entries {
		if !e.suspectedAt.IsZero() {
			e.suspectedAt = e.suspectedAt.Add(gap)
		}
	}
}

// applyRecord merges a record into the table, queues what changed for broadcast and
// refutes a suspicion of this incarnation. ttl is how long the sender still remembers an
// ended incarnation.
func (c *core) applyRecord(now time.Time, r record, ttl time.Duration) {
	for _, ch := range c.table.merge(now, r, ttl) {
		if c.joined || ch.current.Incarnation == c.self { // the other members already know what a joining member learns
			c.broadcasts.push(broadcastID{incarnation: ch.current.Incarnation}, ch.isNew, false)
			c.scheduleExtraSyncs(now)
		}
		c.changes = append(c.changes, ch)
		c.countTransition(ch)
		if ch.current.Incarnation == c.self {
			c.checkSelf(now, ch.current)
		}
	}
}

// countTransition updates the statistics for a change of state.
func (c *core) countTransition(ch change) {
	after := ch.current.state()
	if ch.before == after {
		return
	}
	switch after {
	case StateSuspect:
		c.stats.Suspicions++
	case StateDead:
		c.stats.Deaths++
	case StateAlive:
		c.stats.Refutations++
	case StateLeaving, StateLeft:
	}
}

// checkSelf refutes a suspicion of this incarnation, or stops the core when it was
// declared dead.
func (c *core) checkSelf(now time.Time, own *entry) {
	if own.Final == finalDead {
		c.declareSelfDead()
		return
	}
	if own.Suspected && own.Final == finalNone {
		refutation := own.record
		refutation.Refutation++
		refutation.Suspected = false
		c.applyRecord(now, refutation, 0)
	}
}

func (c *core) declareSelfDead() {
	c.selfDead = true
}

// liveCount returns the number of incarnations that have not ended, including this one.
func (c *core) liveCount() int {
	count := 0
	for _, e := range c.table.entries {
		if e.Final == finalNone {
			count++
		}
	}
	return count
}

// randomMembers returns up to count other members that have not ended, whose details are
// known and that accept returns true for, in random order.
func (c *core) randomMembers(count int, accept func(*entry) bool) []*entry {
	var found []*entry
	for _, e := range c.table.entries {
		if e.Incarnation == c.self || e.Final != finalNone || !e.complete() || !accept(e) {
			continue
		}
		found = append(found, e)
	}
	sortEntries(found)
	c.random.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	return found[:min(count, len(found))]
}

func notSuspected(e *entry) bool {
	return !e.Suspected
}

// newerIncarnation returns the newest incarnation of the same node if it is newer than
// old, has not ended and its details are known.
func (c *core) newerIncarnation(old ident.Incarnation) (*entry, bool) {
	newest, known := c.newestIncarnation(old.Node())
	if !known || newest == old {
		return nil, false
	}
	e := c.table.entries[newest]
	return e, e.Final == finalNone && e.complete()
}

// newestIncarnation returns the newest known incarnation of node.
func (c *core) newestIncarnation(node ident.Node) (ident.Incarnation, bool) {
	newest, ok := c.table.newest[node]
	return newest, ok
}
