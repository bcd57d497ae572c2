package membership

import (
	"slices"
	"time"
)

// maxSkipped is how many broadcasts that do not fit into the rest of a datagram are
// skipped before it is sent.
const maxSkipped = 3

// send sends a datagram to address: the header, the short record of subject unless it is
// nil, and as many broadcasts as fit.
func (c *core) send(now time.Time, address string, h header, subject *entry) {
	h.From = c.self
	data := append(make([]byte, tagBytes, maxDatagramBytes), encode(h.write)...)
	if subject != nil {
		data = append(data, encodeRecord(subject.short(), 0)...)
	}
	data = c.appendBroadcasts(now, data, c.broadcasts.sorted(), 1)
	c.emit(address, data)
}

// newUpdatesDatagram returns the start of a kindUpdates datagram.
func (c *core) newUpdatesDatagram() []byte {
	return append(make([]byte, tagBytes, maxDatagramBytes), encode((&header{Kind: kindUpdates, From: c.self}).write)...)
}

// emit signs a datagram and adds it to the outgoing packets.
func (c *core) emit(address string, data []byte) {
	c.authenticator.sign(data)
	c.outgoing = append(c.outgoing, packet{address: address, data: data})
}

// appendBroadcasts appends pending broadcasts to data until it is full or the rate limit
// is reached, and counts each as sent to the given number of receivers.
func (c *core) appendBroadcasts(now time.Time, data []byte, pending []*broadcast, receivers int) []byte {
	members := c.liveCount()
	skipped := 0
	for _, b := range pending {
		if skipped == maxSkipped {
			break
		}
		encoded, ok := c.encodeBroadcast(now, b)
		if !ok {
			delete(c.broadcasts.pending, b.id)
			continue
		}
		if len(data)+len(encoded) > maxDatagramBytes {
			skipped++
			continue
		}
		if !c.limiter.AllowN(now, len(encoded)*receivers) {
			break
		}
		data = append(data, encoded...)
		c.broadcasts.markSent(b, receivers, members)
	}
	return data
}

// encodeBroadcast encodes the current item of a broadcast; it returns false when the item
// is no longer sent.
func (c *core) encodeBroadcast(now time.Time, b *broadcast) ([]byte, bool) {
	if b.id.incarnation != "" {
		e, ok := c.table.entries[b.id.incarnation]
		if !ok || !sendable(e, now) {
			return nil, false
		}
		if !b.withDetails {
			return encodeRecord(e.short(), e.remaining(now)), true
		}
		return encodeRecord(e.record, e.remaining(now)), true
	}
	stored, ok := c.rumours.entries[b.id.rumour]
	if !ok || stored.expireAt.Sub(now) < minSendTTL {
		return nil, false
	}
	return encodeRumour(stored.Rumour, stored.expireAt.Sub(now)), true
}

// gossip sends pending broadcasts to gossipFanout random members.
func (c *core) gossip(now time.Time) {
	if len(c.broadcasts.pending) == 0 {
		return
	}
	c.broadcasts.round++
	targets := c.randomMembers(gossipFanout, notSuspected)
	if len(targets) == 0 {
		return
	}
	pending := c.broadcasts.sorted()
	for range maxGossipDatagrams {
		head := c.newUpdatesDatagram()
		data := c.appendBroadcasts(now, head, pending, len(targets))
		if len(data) == len(head) {
			return
		}
		pending = slices.DeleteFunc(pending, func(b *broadcast) bool { return b.round == c.broadcasts.round })
		for _, target := range targets {
			c.emit(target.Details.PeerAddress, append([]byte(nil), data...))
		}
	}
}
