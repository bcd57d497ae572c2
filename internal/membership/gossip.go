package membership

import (
	"slices"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

// maxMisfits is how many news too large for the rest of a datagram are passed over before it goes out.
const maxMisfits = 3

// send queues a datagram to address: the header, the record of about unless it
// is nil, and as much news as fits.
func (c *core) send(now time.Time, address string, h header, about *entry) {
	h.From = c.self
	data := append(make([]byte, tagBytes, maxDatagramBytes), encode(h.write)...)
	if about != nil {
		data = append(data, encodeRecord(about.short(), 0)...)
	}
	data = c.fill(now, data, c.queue.sorted(), 1)
	c.emit(address, data)
}

// newsHead begins a datagram that only carries items.
func (c *core) newsHead() []byte {
	return append(make([]byte, tagBytes, maxDatagramBytes), encode((&header{Kind: kindNews, From: c.self}).write)...)
}

func (c *core) emit(address string, data []byte) {
	c.sealer.seal(data)
	c.out = append(c.out, packet{address: address, data: data})
}

// fill appends news to data until it is full or the budget of news is used up, and
// notes that they go to so many members.
func (c *core) fill(now time.Time, data []byte, waiting []*news, times int) []byte {
	members := c.members()
	misfits := 0
	for _, n := range waiting {
		if misfits == maxMisfits {
			break
		}
		encoded, ok := c.encodeNews(now, n)
		if !ok {
			delete(c.queue.waiting, n.name)
			continue
		}
		if len(data)+len(encoded) > maxDatagramBytes {
			misfits++
			continue
		}
		if !c.budget.AllowN(now, len(encoded)*times) {
			break
		}
		data = append(data, encoded...)
		c.queue.sent(n, times, members)
	}
	return data
}

func (c *core) encodeNews(now time.Time, n *news) ([]byte, bool) {
	if n.name.incarnation != "" {
		e, ok := c.table.entries[n.name.incarnation]
		if !ok || !sendable(e, now) {
			return nil, false
		}
		if !n.full {
			return encodeRecord(e.short(), e.remaining(now)), true
		}
		return encodeRecord(e.record, e.remaining(now)), true
	}
	held, ok := c.rumours.held[n.name.rumour]
	if !ok || held.expireAt.Sub(now) < minSentLife {
		return nil, false
	}
	return encodeRumour(held.Rumour, held.expireAt.Sub(now)), true
}

// gossip sends the waiting news to a few members.
func (c *core) gossip(now time.Time) {
	if len(c.queue.waiting) == 0 {
		return
	}
	targets := c.pick(gossipFanout, reachable)
	if len(targets) == 0 {
		return
	}
	for range gossipDatagrams {
		waiting := c.queue.sorted()
		if len(waiting) == 0 {
			return
		}
		head := c.newsHead()
		data := c.fill(now, head, waiting, len(targets))
		if len(data) == len(head) {
			return
		}
		for _, target := range targets {
			c.emit(target.Details.PeerAddress, append([]byte(nil), data...))
		}
	}
}

// receive acts on a datagram that came from address.
func (c *core) receive(now time.Time, address string, raw []byte) {
	body, err := c.sealer.open(raw)
	if err != nil {
		c.stats.Rejected++
		return
	}
	d, err := decode(body)
	if err != nil {
		c.stats.Rejected++
		return
	}
	if d.From == c.self || c.selfDead {
		return
	}
	sender, known := c.table.entries[d.From]
	if known && sender.Final != finalNone {
		c.answerEnded(now, address, sender, d)
		return
	}
	for _, next := range d.items {
		c.learnItem(now, next)
	}
	if !known {
		c.startSync(now, address)
	}
	c.act(now, address, d)
}

// answerEnded tells a member that has been declared dead so, and believes
// nothing that it says of others. What it says of this member is believed only
// after this member declared others dead from the lesser part of its region.
func (c *core) answerEnded(now time.Time, address string, sender *entry, d *datagram) {
	for _, next := range d.items {
		if next.Record == nil {
			continue
		}
		aboutSelf := next.Record.Incarnation == c.self
		if next.Record.Incarnation == d.From || (aboutSelf && c.doubtful) {
			c.learnItem(now, next)
		}
	}
	if sender.Final != finalDead {
		return
	}
	data := c.newsHead()
	data = append(data, encodeRecord(sender.short(), sender.remaining(now))...)
	c.emit(address, data)
}

func (c *core) learnItem(now time.Time, next item) {
	life := time.Duration(next.LifeMs) * time.Millisecond
	if next.Record != nil {
		c.learn(now, *next.Record, life)
		return
	}
	if c.rumours.join(now, *next.Rumour, life) {
		c.arrived = append(c.arrived, *next.Rumour)
		if !next.Rumour.Topic.bulk() {
			c.expectMore(now)
		}
		c.pushRumour(*next.Rumour)
	}
}

func (c *core) pushRumour(r Rumour) {
	c.queue.push(newsName{rumour: r.name()}, false, r.Topic.bulk())
}

func (c *core) act(now time.Time, address string, d *datagram) {
	switch d.Kind {
	case kindPing:
		c.answerPing(now, address, d)
	case kindAck:
		c.takeAck(now, d)
	case kindPingFor:
		c.pingFor(now, address, d)
	case kindSync:
		c.answerSync(now, address, d)
	case kindSyncBack:
		c.takeSyncBack(now, address, d)
	case kindNews:
	}
}

func (c *core) answerPing(now time.Time, address string, d *datagram) {
	own := c.table.entries[c.self]
	if d.Target != c.self {
		c.emit(address, c.withRecord(own.record)) // another process lives at this address now
		return
	}
	h := header{Kind: kindAck, Seq: d.Seq, Target: c.self}
	if !d.mentions(c.self) {
		own = nil
	}
	c.send(now, address, h, own)
}

func (c *core) withRecord(r record) []byte {
	return append(c.newsHead(), encodeRecord(r, 0)...)
}

func (c *core) takeAck(now time.Time, d *datagram) {
	if p, ok := c.probes[d.Seq]; ok && p.target == d.Target {
		delete(c.probes, d.Seq)
		return
	}
	r, ok := c.relays[d.Seq]
	if ok && d.From == d.Target {
		delete(c.relays, d.Seq)
		c.send(now, r.address, header{Kind: kindAck, Seq: r.seq, Target: d.Target}, nil)
	}
}

func (c *core) pingFor(now time.Time, address string, d *datagram) {
	c.seq++
	c.relays[c.seq] = relay{address: address, seq: d.Seq, sentAt: now}
	c.send(now, d.Address, header{Kind: kindPing, Seq: c.seq, Target: d.Target}, c.underSuspicion(d.Target))
}

// startSync asks address for what this node does not know.
func (c *core) startSync(now time.Time, address string) {
	c.stats.Syncs++
	h := header{Kind: kindSync, From: c.self, Digest: c.digest(now)}
	data := append(make([]byte, tagBytes, maxDatagramBytes), encode(h.write)...)
	data = append(data, encodeRecord(c.table.entries[c.self].record, 0)...)
	c.emit(address, data)
}

func (c *core) syncInterval() time.Duration {
	jitter := 0.5 + c.random.Float64()
	switch {
	case !c.joined:
		return joinInterval
	case c.freshSyncs > 0:
		c.freshSyncs--
		return time.Duration(float64(freshSyncInterval) * jitter)
	default:
		return time.Duration(float64(c.timing.Sync) * jitter)
	}
}

// expectMore has the next comparisons follow soon: where there is news, some of it
// may have been missed, here or elsewhere.
func (c *core) expectMore(now time.Time) {
	c.freshSyncs = freshSyncs
	soon := now.Add(time.Duration(float64(freshSyncInterval) * (0.5 + c.random.Float64())))
	if soon.Before(c.nextSync) {
		c.nextSync = soon
	}
}

// syncWithOne compares everything with one member, or with a seed while there is none.
func (c *core) syncWithOne(now time.Time) {
	if c.joined || len(c.seeds) == 0 {
		for _, e := range c.pick(1, reachable) {
			c.startSync(now, e.Details.PeerAddress)
		}
		return
	}
	c.startSync(now, c.seeds[c.random.IntN(len(c.seeds))])
}

// rejoin tries to reach one member that is held for dead, or a seed, so that parts
// of a site that lost each other find each other again.
func (c *core) rejoin(now time.Time) {
	var addresses []string
	live := make(map[string]bool)
	for _, e := range c.table.entries {
		if e.Final == finalNone {
			live[e.Details.PeerAddress] = true
		}
	}
	for incarnation, e := range c.table.entries {
		newest := c.table.newest[incarnation.Node()] == incarnation
		if e.Final == finalDead && newest && e.complete() && !live[e.Details.PeerAddress] {
			addresses = append(addresses, e.Details.PeerAddress)
		}
	}
	for _, seed := range c.seeds {
		if !live[seed] {
			addresses = append(addresses, seed)
		}
	}
	if len(addresses) == 0 {
		return
	}
	slices.Sort(addresses)
	c.startSync(now, addresses[c.random.IntN(len(addresses))])
}

// answerSync sends what differs, and then its own digest so that the other does the same.
func (c *core) answerSync(now time.Time, address string, d *datagram) {
	more, different := c.sendDifferences(now, address, d.Digest)
	if !different {
		c.send(now, address, header{Kind: kindSyncBack}, nil)
		return
	}
	c.send(now, address, header{Kind: kindSyncBack, Digest: c.digest(now), More: more}, nil)
}

func (c *core) takeSyncBack(now time.Time, address string, d *datagram) {
	c.joined = !d.More
	if len(d.Digest) != 0 {
		c.sendDifferences(now, address, d.Digest)
	}
	if d.More {
		c.nextSync = now
	}
}

func (c *core) sendDifferences(now time.Time, address string, theirs digest) (more, different bool) {
	buckets := c.digest(now).differing(theirs)
	c.random.Shuffle(len(buckets), func(i, j int) { buckets[i], buckets[j] = buckets[j], buckets[i] })
	items := c.itemsIn(now, buckets)
	for range syncDatagrams {
		if len(items) == 0 {
			break
		}
		data := c.newsHead()
		for len(items) > 0 && len(data)+len(items[0]) <= maxDatagramBytes {
			data = append(data, items[0]...)
			items = items[1:]
		}
		c.emit(address, data)
	}
	return len(items) > 0, len(buckets) > 0
}

// newestOf returns the newest incarnation known of node.
func (c *core) newestOf(node ident.Node) (ident.Incarnation, bool) {
	newest, ok := c.table.newest[node]
	return newest, ok
}
