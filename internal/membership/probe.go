package membership

import (
	"cmp"
	"slices"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

// maxFinalProbes is how often each node of its region pings a suspected member directly
// before it declares the member dead.
const maxFinalProbes = 3

func sortEntries(entries []*entry) {
	slices.SortFunc(entries, func(a, b *entry) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
}

// probeNext pings the next member in a shuffled order of all that have not ended, and
// reshuffles at its end.
func (c *core) probeNext(now time.Time) {
	for range 2 {
		for len(c.probeOrder) > 0 {
			next := c.probeOrder[0]
			c.probeOrder = c.probeOrder[1:]
			e, ok := c.table.entries[next]
			if ok && e.Final == finalNone && e.complete() {
				c.ping(now, e)
				return
			}
		}
		for _, e := range c.randomMembers(len(c.table.entries), func(*entry) bool { return true }) {
			c.probeOrder = append(c.probeOrder, e.Incarnation)
		}
	}
}

func (c *core) ping(now time.Time, target *entry) {
	c.seq++
	c.probes[c.seq] = &probe{target: target.Incarnation, sentAt: now}
	c.sendPing(now, c.seq, target)
}

func (c *core) sendPing(now time.Time, seq uint32, target *entry) {
	h := header{Kind: kindPing, Seq: seq, Target: target.Incarnation}
	c.send(now, target.Details.PeerAddress, h, c.suspectedEntry(target.Incarnation))
}

// suspectedEntry returns the entry of target if it is suspected, so that a ping can tell
// the target, and nil otherwise.
func (c *core) suspectedEntry(target ident.Incarnation) *entry {
	e, ok := c.table.entries[target]
	if !ok || !e.Suspected {
		return nil
	}
	return e
}

// checkProbes sends indirect pings for members that did not answer within DirectTimeout,
// and suspects those that did not answer within ProbeTimeout.
func (c *core) checkProbes(now time.Time) {
	for _, seq := range sortedKeys(c.probes) {
		p := c.probes[seq]
		target, known := c.table.entries[p.target]
		waited := now.Sub(p.sentAt)
		switch {
		case !known || target.Final != finalNone:
			delete(c.probes, seq)
		case waited >= c.timing.ProbeTimeout:
			delete(c.probes, seq)
			c.markSuspected(now, target)
		case waited >= c.timing.DirectTimeout && !p.indirect:
			p.indirect = true
			c.sendPing(now, seq, target)
			c.sendIndirectPings(now, seq, target)
		}
	}
	for seq, r := range c.relays {
		if now.Sub(r.sentAt) >= c.timing.ProbeTimeout {
			delete(c.relays, seq)
		}
	}
}

func sortedKeys[V any](m map[uint32]V) []uint32 {
	keys := make([]uint32, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// sendIndirectPings asks indirectProbes random members to ping target.
func (c *core) sendIndirectPings(now time.Time, seq uint32, target *entry) {
	if target.Suspected {
		return // suspected members are only pinged directly until they answer
	}
	helpers := c.randomMembers(indirectProbes, func(e *entry) bool { return notSuspected(e) && e != target })
	for _, helper := range helpers {
		ask := header{Kind: kindIndirectPing, Seq: seq, Target: target.Incarnation, Address: target.Details.PeerAddress}
		c.send(now, helper.Details.PeerAddress, ask, nil)
	}
}

func (c *core) markSuspected(now time.Time, target *entry) {
	if target.Suspected {
		return
	}
	update := target.short()
	update.Suspected = true
	c.applyRecord(now, update, 0)
}

// checkSuspicions declares members dead that did not refute their suspicion in time.
// Members of its own region are first pinged maxFinalProbes times.
func (c *core) checkSuspicions(now time.Time) {
	suspects := c.suspects()
	if len(suspects) == 0 {
		return
	}
	ownRegion := c.table.entries[c.self].Details.Region
	minority := c.inMinority(ownRegion)
	var timedOut, toPing []*entry
	for _, e := range suspects {
		sameRegion := e.Details.Region == ownRegion
		waited := now.Sub(e.suspectedAt)
		switch {
		case waited >= c.suspicionTimeout(sameRegion, minority):
			timedOut = append(timedOut, e)
		case sameRegion && waited >= time.Duration(e.finalProbes+1)*c.timing.SuspicionTimeout/(maxFinalProbes+1) && e.finalProbes < maxFinalProbes:
			toPing = append(toPing, e)
		}
	}
	for _, e := range toPing {
		e.finalProbes++
		c.ping(now, e)
	}
	for _, e := range timedOut {
		c.deathsUncertain = c.deathsUncertain || minority || e.Details.Region != ownRegion
		update := e.short()
		update.Final = finalDead
		c.applyRecord(now, update, 0)
	}
}

// suspects returns the other members that are suspected and have not ended.
func (c *core) suspects() []*entry {
	var out []*entry
	for _, e := range c.table.entries {
		if e.Suspected && e.Final == finalNone && e.Incarnation != c.self {
			out = append(out, e)
		}
	}
	sortEntries(out)
	return out
}

// inMinority reports whether this member reaches less than half of its region. Of two
// equal halves, the one without the lowest incarnation is the minority.
func (c *core) inMinority(region ident.Region) bool {
	reached, all := c.table.countReachable(region)
	if 2*reached == all {
		return !c.reachesLowestIncarnation(region)
	}
	return 2*reached < all
}

// suspicionTimeout returns how long a suspected member has to refute. Only nodes of the
// same region that reach a majority of it use the short timeout, so that an isolated node
// does not declare all others dead.
func (c *core) suspicionTimeout(sameRegion, minority bool) time.Duration {
	switch {
	case !sameRegion:
		return c.timing.CrossRegionTimeout
	case minority:
		return c.timing.SuspicionTimeout + c.timing.MinorityExtraTimeout
	default:
		return c.timing.SuspicionTimeout
	}
}

// reachesLowestIncarnation reports whether the live member with the lowest incarnation of
// the region is reachable; it decides which of two equal halves counts as the majority.
func (c *core) reachesLowestIncarnation(region ident.Region) bool {
	var first *entry
	for _, e := range c.table.entries {
		if e.Final != finalNone || e.Details.Region != region {
			continue
		}
		if first == nil || e.Incarnation < first.Incarnation {
			first = e
		}
	}
	return first != nil && !first.Suspected
}
