package membership

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"mangoledge.example/mangoledge/internal/ident"
)

const (
	// gossipFanout is to how many members a round of news goes.
	gossipFanout = 3
	// gossipDatagrams is the most datagrams that one round of news sends to each of them.
	gossipDatagrams = 8
	// indirectProbes is how many members are asked to probe one that does not answer.
	indirectProbes = 3
	// newsBytesPerSecond is the long-term rate of news in bytes a second.
	newsBytesPerSecond = 4500
	// newsBurstBytes is how many bytes of news may go out at once, after a quiet time.
	newsBurstBytes = 512 << 10
	// joinInterval is the time between two comparisons while a node is still joining.
	joinInterval = 250 * time.Millisecond
	// freshSyncInterval is the mean time between two comparisons after news arrived.
	freshSyncInterval = time.Second
	// freshSyncs is how many comparisons follow soon after news arrived.
	freshSyncs = 2
)

// packet is a datagram to be sent.
type packet struct {
	address string
	data    []byte
}

// probe is a ping that waits for its answer.
type probe struct {
	target   ident.Incarnation
	sentAt   time.Time
	indirect bool
}

// relay is a ping that was sent for another member.
type relay struct {
	address string
	seq     uint32
	sentAt  time.Time
}

// core decides what a member sends and believes. It is free of sockets,
// goroutines and clocks: time, datagrams and randomness are handed in, and it
// returns packets. It is not safe for concurrent use; Cluster holds its lock.
type core struct {
	timing  Timing
	self    ident.Incarnation
	seeds   []string
	sealer  *sealer
	random  *rand.Rand
	table   *table
	rumours *rumourStore
	queue   *queue
	budget  *rate.Limiter

	seq    uint32
	probes map[uint32]*probe
	relays map[uint32]relay
	order  []ident.Incarnation

	lastTick   time.Time
	nextProbe  time.Time
	nextGossip time.Time
	nextSync   time.Time
	nextRejoin time.Time
	freshSyncs int
	joined     bool
	selfDead   bool
	// doubtful is true once this member declared others dead without the greater part of its region.
	doubtful bool

	out     []packet
	changed []change
	arrived []Rumour
	stats   Stats
}

func newCore(self record, seeds []string, token string, timing Timing, random *rand.Rand, now time.Time) *core {
	c := &core{
		timing:  timing,
		self:    self.Incarnation,
		seeds:   seeds,
		sealer:  newSealer(token),
		random:  random,
		table:   newTable(timing.Remember),
		rumours: newRumourStore(),
		queue:   newQueue(),
		budget:  rate.NewLimiter(newsBytesPerSecond, newsBurstBytes),
		probes:  make(map[uint32]*probe),
		relays:  make(map[uint32]relay),
	}
	c.lastTick = now
	c.nextProbe = now.Add(time.Duration(random.Int64N(int64(timing.Probe))))
	c.nextGossip = now
	c.nextSync = now
	c.nextRejoin = now
	c.joined = len(seeds) == 0
	c.learn(now, self, 0)
	return c
}

// tick does what is due at now.
func (c *core) tick(now time.Time) {
	c.absorbPause(now)
	if c.selfDead {
		return
	}
	c.checkProbes(now)
	c.checkSuspicions(now)
	if due(&c.nextProbe, now, c.timing.Probe) {
		c.probeNext(now)
	}
	if due(&c.nextGossip, now, c.timing.Gossip) {
		c.gossip(now)
	}
	if !now.Before(c.nextSync) {
		c.nextSync = now.Add(c.syncInterval())
		c.syncWithOne(now)
	}
	if due(&c.nextRejoin, now, c.timing.Rejoin) {
		c.rejoin(now)
		c.table.forget(now)
		c.rumours.expire(now)
	}
}

// due reports whether next has come, and moves it on by interval.
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

// absorbPause moves all waiting times on by the time in which this process did
// not run: others may have answered meanwhile, and nobody is blamed for it.
func (c *core) absorbPause(now time.Time) {
	gap := now.Sub(c.lastTick) - c.timing.Tick
	c.lastTick = now
	if gap >= c.timing.SelfDead {
		c.declareSelfDead()
		return
	}
	if gap < c.timing.Tick {
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

// learn merges a record into the table, spreads what is new and denies what is said wrongly of this incarnation.
func (c *core) learn(now time.Time, r record, life time.Duration) {
	for _, ch := range c.table.join(now, r, life) {
		if c.joined || ch.current.Incarnation == c.self { // what a joining member learns is no news to others
			c.queue.push(newsName{incarnation: ch.current.Incarnation}, ch.isNew, false)
			c.expectMore(now)
		}
		c.changed = append(c.changed, ch)
		c.count(ch)
		if ch.current.Incarnation == c.self {
			c.checkSelf(now, ch.current)
		}
	}
}

func (c *core) count(ch change) {
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

// checkSelf answers what others say of this incarnation.
func (c *core) checkSelf(now time.Time, own *entry) {
	if own.Final == finalDead {
		c.declareSelfDead()
		return
	}
	if own.Suspected && own.Final == finalNone {
		denial := own.record
		denial.Refutation++
		denial.Suspected = false
		c.learn(now, denial, 0)
	}
}

func (c *core) declareSelfDead() {
	c.selfDead = true
}

// members returns how many incarnations have not ended, this one included.
func (c *core) members() int {
	count := 0
	for _, e := range c.table.entries {
		if e.Final == finalNone {
			count++
		}
	}
	return count
}

// pick returns up to count other members that have not ended and that keep accepts, in random order.
func (c *core) pick(count int, keep func(*entry) bool) []*entry {
	var found []*entry
	for _, e := range c.table.entries {
		if e.Incarnation == c.self || e.Final != finalNone || !e.complete() || !keep(e) {
			continue
		}
		found = append(found, e)
	}
	sortEntries(found)
	c.random.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	return found[:min(count, len(found))]
}

func reachable(e *entry) bool {
	return !e.Suspected
}

// successorInName returns the newer incarnation of the same node that has not
// ended, if one is known with its details.
func (c *core) successorInName(old ident.Incarnation) (*entry, bool) {
	newest, known := c.newestOf(old.Node())
	if !known || newest == old {
		return nil, false
	}
	e := c.table.entries[newest]
	return e, e.Final == finalNone && e.complete()
}

// newestOf returns the newest incarnation known of node.
func (c *core) newestOf(node ident.Node) (ident.Incarnation, bool) {
	newest, ok := c.table.newest[node]
	return newest, ok
}
