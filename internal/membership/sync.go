package membership

import (
	"slices"
	"time"
)

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
