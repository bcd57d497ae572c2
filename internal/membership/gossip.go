package membership

import (
	"slices"
	"time"
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
	c.queue.round++
	targets := c.pick(gossipFanout, reachable)
	if len(targets) == 0 {
		return
	}
	waiting := c.queue.sorted()
	for range gossipDatagrams {
		head := c.newsHead()
		data := c.fill(now, head, waiting, len(targets))
		if len(data) == len(head) {
			return
		}
		waiting = slices.DeleteFunc(waiting, func(n *news) bool { return n.round == c.queue.round })
		for _, target := range targets {
			c.emit(target.Details.PeerAddress, append([]byte(nil), data...))
		}
	}
}
