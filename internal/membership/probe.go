package membership

import (
	"cmp"
	"slices"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

// lastCalls is how often each member that holds another for suspected pings it
// itself before it declares it dead.
const lastCalls = 3

func sortEntries(entries []*entry) {
	slices.SortFunc(entries, func(a, b *entry) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
}

// probeNext pings the next member of a shuffled round over all that have not ended.
func (c *core) probeNext(now time.Time) {
	for range 2 {
		for len(c.order) > 0 {
			next := c.order[0]
			c.order = c.order[1:]
			e, ok := c.table.entries[next]
			if ok && e.Final == finalNone && e.complete() {
				c.ping(now, e)
				return
			}
		}
		for _, e := range c.pick(len(c.table.entries), func(*entry) bool { return true }) {
			c.order = append(c.order, e.Incarnation)
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
	c.send(now, target.Details.PeerAddress, h, c.underSuspicion(target.Incarnation))
}

// underSuspicion returns the entry of target when it is suspected, so that a ping
// can tell it, or nil.
func (c *core) underSuspicion(target ident.Incarnation) *entry {
	e, ok := c.table.entries[target]
	if !ok || !e.Suspected {
		return nil
	}
	return e
}

// checkProbes asks others about members that did not answer, and suspects those that they can't reach either.
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
			c.suspect(now, target)
		case waited >= c.timing.DirectTimeout && !p.indirect:
			p.indirect = true
			c.sendPing(now, seq, target)
			c.askOthers(now, seq, target)
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

func (c *core) askOthers(now time.Time, seq uint32, target *entry) {
	if target.Suspected {
		return // it is asked directly only, until it answers
	}
	helpers := c.pick(indirectProbes, func(e *entry) bool { return reachable(e) && e != target })
	for _, helper := range helpers {
		ask := header{Kind: kindPingFor, Seq: seq, Target: target.Incarnation, Address: target.Details.PeerAddress}
		c.send(now, helper.Details.PeerAddress, ask, nil)
	}
}

func (c *core) suspect(now time.Time, target *entry) {
	if target.Suspected {
		return
	}
	news := target.short()
	news.Suspected = true
	c.learn(now, news, 0)
}

// checkSuspicions declares members dead that did not deny their suspicion in
// time, after it has asked them itself a few times.
func (c *core) checkSuspicions(now time.Time) {
	suspects := c.suspects()
	if len(suspects) == 0 {
		return
	}
	own := c.table.entries[c.self].Details.Region
	minority := c.inMinority(own)
	var ended, asked []*entry
	for _, e := range suspects {
		sameRegion := e.Details.Region == own
		waited := now.Sub(e.suspectedAt)
		switch {
		case waited >= c.patience(sameRegion, minority):
			ended = append(ended, e)
		case sameRegion && waited >= time.Duration(e.lastCalls+1)*c.timing.Suspicion/(lastCalls+1) && e.lastCalls < lastCalls:
			asked = append(asked, e)
		}
	}
	for _, e := range asked {
		e.lastCalls++
		c.ping(now, e)
	}
	for _, e := range ended {
		c.doubtful = c.doubtful || minority || e.Details.Region != own
		news := e.short()
		news.Final = finalDead
		c.learn(now, news, 0)
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

// inMinority reports whether this member reaches only the lesser part of its region.
func (c *core) inMinority(own ident.Region) bool {
	reached, all := c.table.reach(own)
	if 2*reached == all {
		return !c.firstHalf(own)
	}
	return 2*reached < all
}

// patience returns how long a suspected member has. Only members of its own
// region judge it soon, and of those only the greater part: a node that is cut
// off must not declare everybody else dead.
func (c *core) patience(sameRegion, minority bool) time.Duration {
	switch {
	case !sameRegion:
		return c.timing.RegionHold
	case minority:
		return c.timing.Suspicion + c.timing.MinorityHold
	default:
		return c.timing.Suspicion
	}
}

// firstHalf reports whether the member of the region with the least name is reached;
// of two equal halves that one is the greater part.
func (c *core) firstHalf(region ident.Region) bool {
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
