package membership

import (
	"time"
)

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

// answerEnded tells a member that has been declared dead so, and who runs under its
// node's name now, and believes nothing that it says of others. What it says of this member is believed only
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
	if next, ok := c.successorInName(d.From); ok {
		data = append(data, encodeRecord(next.record, next.remaining(now))...)
	}
	data = append(data, encodeRecord(sender.short(), sender.remaining(now))...)
	if len(data) <= maxDatagramBytes {
		c.emit(address, data)
	}
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
