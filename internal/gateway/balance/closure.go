package balance

import (
	"time"

	"mangoledge.example/mangoledge/internal/gateway/site"
)

// Closure is why an upstream gets nothing from this node, whatever its entry says.
type Closure uint8

const (
	// Open upstreams get work.
	Open Closure = iota
	// Leaving upstreams said in an answer that they end; they get nothing any more.
	Leaving
	// Quiet upstreams asked to be left alone for a time.
	Quiet
)

// String returns the closure as logs and metrics spell it.
func (c Closure) String() string {
	switch c {
	case Leaving:
		return "leaving"
	case Quiet:
		return "quiet"
	case Open:
	}
	return "open"
}

// absentTime is for how long the closure of an upstream without an entry is kept: entries
// lapse while the store is away, and come back of the same incarnation.
const absentTime = time.Hour

// closed is what an incarnation of an upstream said of itself in answers.
type closed struct {
	upstream   site.Upstream
	leaving    bool
	quietUntil time.Time
	// listed is when the upstream had an entry last.
	listed time.Time
}

func (c *closed) now(now time.Time) (Closure, time.Duration) {
	switch {
	case c.leaving:
		return Leaving, 0
	case now.Before(c.quietUntil):
		return Quiet, c.quietUntil.Sub(now)
	}
	return Open, 0
}

// sameIncarnation reports whether two entries tell of one start of an upstream. Where none
// tells when it started, another address is another start.
func sameIncarnation(a, b site.Upstream) bool {
	if a.Born.IsZero() && b.Born.IsZero() {
		return a.Address == b.Address
	}
	return a.Born.Equal(b.Born)
}

// Leave notes that an upstream said that it ends; it is false when that was known.
func (b *Balancer) Leave(u site.Upstream) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.closing(u)
	before := c.leaving
	c.leaving = true
	return !before
}

// LeaveAlone notes that an upstream asked for quiet for a time. It is false when one that
// was quiet already asked, whose time only becomes longer.
func (b *Balancer) LeaveAlone(u site.Upstream, d time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	c := b.closing(u)
	before, _ := c.now(now)
	if until := now.Add(d); until.After(c.quietUntil) {
		c.quietUntil = until
	}
	return before == Open
}

// closing returns what an upstream said, made anew when it started again; b.mu is held.
func (b *Balancer) closing(u site.Upstream) *closed {
	c := b.closures[u.ID]
	if c == nil || !sameIncarnation(c.upstream, u) {
		c = &closed{upstream: u, listed: b.now()}
		b.closures[u.ID] = c
	}
	return c
}

// Closed reports why an upstream gets nothing now, and for how long it asked for quiet yet.
func (b *Balancer) Closed(u site.Upstream) (Closure, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.closedAt(u, b.now())
}

func (b *Balancer) closedAt(u site.Upstream, now time.Time) (Closure, time.Duration) {
	c := b.closures[u.ID]
	if c == nil || !sameIncarnation(c.upstream, u) {
		return Open, 0
	}
	return c.now(now)
}

// OpensIn returns when the first of some upstreams takes work again: 0 at once. It is false
// when all of them leave.
func (b *Balancer) OpensIn(candidates []site.Upstream) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var first time.Duration
	found := false
	for _, u := range candidates {
		closure, left := b.closedAt(u, now)
		if closure == Leaving {
			continue
		}
		if !found || left < first {
			first, found = left, true
		}
	}
	return first, found
}

// CountOpen counts the upstreams that take work now.
func (b *Balancer) CountOpen(candidates []site.Upstream) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n, now := 0, b.now()
	for _, u := range candidates {
		if closure, _ := b.closedAt(u, now); closure == Open {
			n++
		}
	}
	return n
}

// CountClosed counts the upstreams that are closed for a reason.
func (b *Balancer) CountClosed(reason Closure) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n, now := 0, b.now()
	for _, c := range b.closures {
		if closure, _ := c.now(now); closure == reason {
			n++
		}
	}
	return n
}

// Reopen forgets closures that are over and returns their upstreams: the time of quiet has
// passed, the upstream started anew, or its entry is gone for long.
func (b *Balancer) Reopen(known map[string]site.Upstream) []site.Upstream {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var out []site.Upstream
	for id, c := range b.closures {
		u, listed := known[id]
		if listed && sameIncarnation(c.upstream, u) {
			c.listed = now
		}
		closure, _ := c.now(now)
		renewed := listed && !sameIncarnation(c.upstream, u)
		if closure == Open || renewed || now.Sub(c.listed) > absentTime {
			delete(b.closures, id)
			out = append(out, c.upstream)
		}
	}
	return out
}
