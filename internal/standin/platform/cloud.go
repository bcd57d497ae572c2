package platform

import (
	"fmt"
	"sync"
	"time"
)

// cloud keeps hosts, prices and notices.
type cloud struct {
	clock func() time.Time

	mu        sync.Mutex
	hosts     []*Host
	offers    []Offer
	notices   []Notice
	addresses map[string][]string
}

func newCloud(clock func() time.Time) *cloud {
	return &cloud{clock: clock, addresses: make(map[string][]string)}
}

// expire ends the hosts whose notice has run out; c.mu must be held.
func (c *cloud) expire(now int64) {
	for _, h := range c.hosts {
		if h.State == HostReclaiming && h.ReclaimAtMs <= now {
			c.end(h, h.ReclaimAtMs)
		}
	}
}

// end terminates h; c.mu must be held.
func (c *cloud) end(h *Host, at int64) {
	h.State = HostTerminated
	h.EndedMs = at
	if h.Address != "" {
		c.addresses[h.FailureDomain] = append(c.addresses[h.FailureDomain], h.Address)
	}
}

// byToken finds the host started under a client token; c.mu must be held.
func (c *cloud) byToken(token string) *Host {
	for _, h := range c.hosts {
		if h.ClientToken == token {
			return h
		}
	}
	return nil
}

// running counts the hosts that run from an offer; c.mu must be held.
func (c *cloud) running(o Offer) int {
	n := 0
	for _, h := range c.hosts {
		if h.State != HostTerminated && h.FailureDomain == o.FailureDomain && h.HostClass == o.HostClass && h.Market == o.Market {
			n++
		}
	}
	return n
}

func (c *cloud) offer(domain, class string, market Market) (Offer, bool) {
	for _, o := range c.offers {
		if o.FailureDomain == domain && o.HostClass == class && o.Market == market {
			return o, true
		}
	}
	return Offer{}, false
}

// start starts a host from an offer; c.mu must be held.
func (c *cloud) start(request startRequest, offer Offer) *Host {
	h := &Host{
		ID:            fmt.Sprintf("h%d", len(c.hosts)+1),
		ClientToken:   request.ClientToken,
		FailureDomain: request.FailureDomain,
		HostClass:     request.HostClass,
		Market:        request.Market,
		State:         HostRunning,
		PricePerHour:  offer.PricePerHour,
		StartedMs:     c.clock().UnixMilli(),
	}
	if free := c.addresses[h.FailureDomain]; len(free) > 0 {
		h.Address = free[0]
		c.addresses[h.FailureDomain] = free[1:]
	}
	c.hosts = append(c.hosts, h)
	return h
}

// snapshot returns all hosts ever started.
func (c *cloud) snapshot() []Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expire(c.clock().UnixMilli())
	out := make([]Host, 0, len(c.hosts))
	for _, h := range c.hosts {
		out = append(out, *h)
	}
	return out
}

// SetOffers replaces what the cloud offers.
func (s *Server) SetOffers(offers []Offer) {
	s.cloud.mu.Lock()
	defer s.cloud.mu.Unlock()
	s.cloud.offers = offers
}

// SetAddresses gives the hosts of a failure domain the addresses where upstreams will listen.
func (s *Server) SetAddresses(failureDomain string, addresses []string) {
	s.cloud.mu.Lock()
	defer s.cloud.mu.Unlock()
	s.cloud.addresses[failureDomain] = append([]string(nil), addresses...)
}

// Reclaim gives notice to running reclaimable hosts that match; empty means any.
func (s *Server) Reclaim(host, failureDomain, hostClass string, notice time.Duration) int {
	c := s.cloud
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	at := now.Add(notice).UnixMilli()
	n := 0
	for _, h := range c.hosts {
		if h.State != HostRunning || h.Market != MarketReclaimable || !matches(h, host, failureDomain, hostClass) {
			continue
		}
		h.State = HostReclaiming
		h.ReclaimAtMs = at
		c.notices = append(c.notices, Notice{
			Sequence: uint64(len(c.notices) + 1), Host: h.ID, FailureDomain: h.FailureDomain,
			GivenMs: now.UnixMilli(), ReclaimAtMs: at,
		})
		n++
	}
	return n
}

func matches(h *Host, host, failureDomain, hostClass string) bool {
	return (host == "" || h.ID == host) &&
		(failureDomain == "" || h.FailureDomain == failureDomain) &&
		(hostClass == "" || h.HostClass == hostClass)
}
