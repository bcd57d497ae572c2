package membership

import (
	"time"
)

// receive handles a datagram from address.
func (c *core) receive(now time.Time, address string, raw []byte) {
	body, err := c.authenticator.verify(raw)
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
		c.replyToEnded(now, address, sender, d)
		return
	}
	for _, next := range d.items {
		c.applyItem(now, next)
	}
	if !known {
		c.startSync(now, address)
	}
	c.handleDatagram(now, address, d)
}

// replyToEnded handles a datagram from an incarnation that has ended. A sender that was
// declared dead is sent a reply that says so and contains the newer incarnation of its
// node, if known. What the sender says about other members is ignored; what it says about
// this member is applied only if deathsUncertain is set.
func (c *core) replyToEnded(now time.Time, address string, sender *entry, d *datagram) {
	for _, next := range d.items {
		if next.Record == nil {
			continue
		}
		aboutSelf := next.Record.Incarnation == c.self
		if next.Record.Incarnation == d.From || (aboutSelf && c.deathsUncertain) {
			c.applyItem(now, next)
		}
	}
	if sender.Final != finalDead {
		return
	}
	data := c.newUpdatesDatagram()
	if next, ok := c.newerIncarnation(d.From); ok {
		data = append(data, encodeRecord(next.record, next.remaining(now))...)
	}
	data = append(data, encodeRecord(sender.short(), sender.remaining(now))...)
	if len(data) <= maxDatagramBytes {
		c.emit(address, data)
	}
}

// applyItem applies a received record or rumour and queues what was new for broadcast.
func (c *core) applyItem(now time.Time, next item) {
	ttl := time.Duration(next.TTLMillis) * time.Millisecond
	if next.Record != nil {
		c.applyRecord(now, *next.Record, ttl)
		return
	}
	if c.rumours.merge(now, *next.Rumour, ttl) {
		c.newRumours = append(c.newRumours, *next.Rumour)
		if !next.Rumour.Topic.lowPriority() {
			c.scheduleExtraSyncs(now)
		}
		c.broadcastRumour(*next.Rumour)
	}
}

func (c *core) broadcastRumour(r Rumour) {
	c.broadcasts.push(broadcastID{rumour: r.id()}, false, r.Topic.lowPriority())
}

func (c *core) handleDatagram(now time.Time, address string, d *datagram) {
	switch d.Kind {
	case kindPing:
		c.handlePing(now, address, d)
	case kindAck:
		c.handleAck(now, d)
	case kindIndirectPing:
		c.handleIndirectPing(now, address, d)
	case kindSync:
		c.handleSync(now, address, d)
	case kindSyncReply:
		c.handleSyncReply(now, address, d)
	case kindUpdates:
	}
}

// handlePing acknowledges a ping. If the ping said that this member is suspected, the ack
// contains its own record, which refutes that.
func (c *core) handlePing(now time.Time, address string, d *datagram) {
	own := c.table.entries[c.self]
	if d.Target != c.self {
		c.emit(address, c.newRecordDatagram(own.record)) // the address now belongs to another process
		return
	}
	h := header{Kind: kindAck, Seq: d.Seq, Target: c.self}
	if !d.hasRecordOf(c.self) {
		own = nil
	}
	c.send(now, address, h, own)
}

func (c *core) newRecordDatagram(r record) []byte {
	return append(c.newUpdatesDatagram(), encodeRecord(r, 0)...)
}

// handleAck ends the probe that the ack answers, or relays the ack to the member that
// requested an indirect ping.
func (c *core) handleAck(now time.Time, d *datagram) {
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

// handleIndirectPing pings a target on behalf of the member at address.
func (c *core) handleIndirectPing(now time.Time, address string, d *datagram) {
	c.seq++
	c.relays[c.seq] = relay{address: address, seq: d.Seq, sentAt: now}
	c.send(now, d.Address, header{Kind: kindPing, Seq: c.seq, Target: d.Target}, c.suspectedEntry(d.Target))
}
