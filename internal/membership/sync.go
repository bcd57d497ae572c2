package membership

import (
	"slices"
	"time"
)

// startSync sends this node's digest to address, which answers with the differing items.
func (c *core) startSync(now time.Time, address string) {
	c.stats.Syncs++
	h := header{Kind: kindSync, From: c.self, Digest: c.digest(now)}
	data := append(make([]byte, tagBytes, maxDatagramBytes), encode(h.write)...)
	data = append(data, encodeRecord(c.table.entries[c.self].record, 0)...)
	c.emit(address, data)
}

// syncInterval returns the time until the next sync, with jitter except while joining.
func (c *core) syncInterval() time.Duration {
	jitter := 0.5 + c.random.Float64()
	switch {
	case !c.joined:
		return joinSyncInterval
	case c.extraSyncs > 0:
		c.extraSyncs--
		return time.Duration(float64(extraSyncInterval) * jitter)
	default:
		return time.Duration(float64(c.timing.SyncInterval) * jitter)
	}
}

// scheduleExtraSyncs moves the next syncs forward: when an update arrives, others may have
// been lost, here or at other nodes.
func (c *core) scheduleExtraSyncs(now time.Time) {
	c.extraSyncs = extraSyncsPerUpdate
	soon := now.Add(time.Duration(float64(extraSyncInterval) * (0.5 + c.random.Float64())))
	if soon.Before(c.nextSync) {
		c.nextSync = soon
	}
}

// syncWithOne starts a sync with one random member, or with a seed while joining.
func (c *core) syncWithOne(now time.Time) {
	if c.joined || len(c.seeds) == 0 {
		for _, e := range c.randomMembers(1, notSuspected) {
			c.startSync(now, e.Details.PeerAddress)
		}
		return
	}
	c.startSync(now, c.seeds[c.random.IntN(len(c.seeds))])
}

// rejoin starts a sync with a member that is believed dead, or a seed, so that separated
// parts of a site find each other again.
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

// handleSync sends the differing items, and then its own digest so that the sender does
// the same.
func (c *core) handleSync(now time.Time, address string, d *datagram) {
	more, different := c.sendDifferences(now, address, d.Digest)
	if !different {
		c.send(now, address, header{Kind: kindSyncReply}, nil)
		return
	}
	c.send(now, address, header{Kind: kindSyncReply, Digest: c.digest(now), More: more}, nil)
}

// handleSyncReply sends the items that the other node lacks. The node has joined once a
// sync left no items unsent; otherwise the next sync follows at once.
func (c *core) handleSyncReply(now time.Time, address string, d *datagram) {
	c.joined = !d.More
	if len(d.Digest) != 0 {
		c.sendDifferences(now, address, d.Digest)
	}
	if d.More {
		c.nextSync = now
	}
}

// sendDifferences sends the items of the buckets that differ from theirs, in up to
// maxSyncDatagrams datagrams. more is true when some were not sent, different when any
// bucket differed.
func (c *core) sendDifferences(now time.Time, address string, theirs digest) (more, different bool) {
	buckets := c.digest(now).differingBuckets(theirs)
	c.random.Shuffle(len(buckets), func(i, j int) { buckets[i], buckets[j] = buckets[j], buckets[i] })
	items := c.itemsIn(now, buckets)
	for range maxSyncDatagrams {
		if len(items) == 0 {
			break
		}
		data := c.newUpdatesDatagram()
		for len(items) > 0 && len(data)+len(items[0]) <= maxDatagramBytes {
			data = append(data, items[0]...)
			items = items[1:]
		}
		c.emit(address, data)
	}
	return len(items) > 0, len(buckets) > 0
}
