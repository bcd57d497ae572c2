package balance

import (
	"time"

	"mangoledge.example/mangoledge/internal/gateway/site"
)

// Availability says whether this node sends requests to an upstream, according to what the upstream
// announced in responses. It takes precedence over the upstream's entry in the store.
type Availability uint8

const (
	// Open upstreams take requests.
	Open Availability = iota
	// Leaving upstreams announced that they are shutting down. They get no more requests.
	Leaving
	// Quiet upstreams asked for no requests for a limited time.
	Quiet
)

// String returns the value used in logs and metrics.
func (c Availability) String() string {
	switch c {
	case Leaving:
		return "leaving"
	case Quiet:
		return "quiet"
	case Open:
	}
	return "open"
}

// announcementRetention is how long the announcements of an upstream without an entry are kept:
// entries expire while the store is unavailable, and are then registered again by the same
// incarnation.
const announcementRetention = time.Hour

// announcement is what one incarnation of an upstream announced in its responses.
type announcement struct {
	upstream   site.Upstream
	leaving    bool
	quietUntil time.Time
	// lastListed is when the upstream last had an entry in the store.
	lastListed time.Time
}

func (c *announcement) availability(now time.Time) (Availability, time.Duration) {
	switch {
	case c.leaving:
		return Leaving, 0
	case now.Before(c.quietUntil):
		return Quiet, c.quietUntil.Sub(now)
	}
	return Open, 0
}

// MarkLeaving records that an upstream announced its shutdown. It returns false if that was already
// known.
func (b *Balancer) MarkLeaving(u site.Upstream) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.announcementOf(u)
	before := c.leaving
	c.leaving = true
	return !before
}

// MarkQuiet records that an upstream asked for no requests for the duration d. It returns false if
// the upstream was already unavailable. If it asks more than once, the latest end applies.
func (b *Balancer) MarkQuiet(u site.Upstream, d time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	c := b.announcementOf(u)
	before, _ := c.availability(now)
	if until := now.Add(d); until.After(c.quietUntil) {
		c.quietUntil = until
	}
	return before == Open
}

// announcementOf returns the announcement of the upstream, creating an empty one when there is
// none for this incarnation. b.mu must be held.
func (b *Balancer) announcementOf(u site.Upstream) *announcement {
	c := b.announcements[u.ID]
	if c == nil || !c.upstream.SameStart(u) {
		c = &announcement{upstream: u, lastListed: b.now()}
		b.announcements[u.ID] = c
	}
	return c
}

// Availability returns the availability of an upstream and, for a quiet one, the time left.
func (b *Balancer) Availability(u site.Upstream) (Availability, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.availabilityOf(u, b.now())
}

func (b *Balancer) availabilityOf(u site.Upstream, now time.Time) (Availability, time.Duration) {
	c := b.announcements[u.ID]
	if c == nil || !c.upstream.SameStart(u) {
		return Open, 0
	}
	return c.availability(now)
}

// NextOpen returns the time until the first of the candidates takes requests; 0 means now. It
// returns false when all of them are leaving.
func (b *Balancer) NextOpen(candidates []site.Upstream) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var first time.Duration
	found := false
	for _, u := range candidates {
		availability, left := b.availabilityOf(u, now)
		if availability == Leaving {
			continue
		}
		if !found || left < first {
			first, found = left, true
		}
	}
	return first, found
}

// CountOpen returns how many of the candidates take requests now.
func (b *Balancer) CountOpen(candidates []site.Upstream) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n, now := 0, b.now()
	for _, u := range candidates {
		if availability, _ := b.availabilityOf(u, now); availability == Open {
			n++
		}
	}
	return n
}

// CountUnavailable returns how many upstreams are unavailable for the given reason.
func (b *Balancer) CountUnavailable(reason Availability) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n, now := 0, b.now()
	for _, c := range b.announcements {
		if availability, _ := c.availability(now); availability == reason {
			n++
		}
	}
	return n
}

// PruneAnnouncements deletes announcements that no longer apply and returns their upstreams: the
// quiet time has passed, the upstream was restarted, or it has had no entry for
// announcementRetention.
func (b *Balancer) PruneAnnouncements(known map[string]site.Upstream) []site.Upstream {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var out []site.Upstream
	for id, c := range b.announcements {
		u, listed := known[id]
		if listed && c.upstream.SameStart(u) {
			c.lastListed = now
			if c.upstream.StartedAt.IsZero() {
				c.upstream = u // so that a later start is told apart
			}
		}
		availability, _ := c.availability(now)
		renewed := listed && !c.upstream.SameStart(u)
		if availability == Open || renewed || now.Sub(c.lastListed) > announcementRetention {
			delete(b.announcements, id)
			out = append(out, c.upstream)
		}
	}
	return out
}
