package platform

import (
	"fmt"
	"sync"
	"time"
)

// cloud stores the hosts, offers, reclaim notices and free addresses of the cloud API.
type cloud struct {
	clock func() time.Time

	mu            sync.Mutex
	hosts         []*Host
	offers        []Offer
	notices       []Notice
	freeAddresses map[string][]string
}

// newCloud returns a cloud without hosts or offers.
func newCloud(clock func() time.Time) *cloud {
	return &cloud{clock: clock, freeAddresses: make(map[string][]string)}
}

// terminateExpired terminates the hosts whose reclaim time has passed; c.mu must be held.
func (c *cloud) terminateExpired(now int64) {
	for _, h := range c.hosts {
		if h.State == HostReclaiming && h.ReclaimAtMs <= now {
			c.terminate(h, h.ReclaimAtMs)
		}
	}
}

// terminate terminates h and frees its address; c.mu must be held.
func (c *cloud) terminate(h *Host, at int64) {
	h.State = HostTerminated
	h.EndedMs = at
	if h.Address != "" {
		c.freeAddresses[h.FailureDomain] = append(c.freeAddresses[h.FailureDomain], h.Address)
	}
}

// hostByClientToken returns the host started with a client token, or nil; c.mu must be held.
func (c *cloud) hostByClientToken(token string) *Host {
	for _, h := range c.hosts {
		if h.ClientToken == token {
			return h
		}
	}
	return nil
}

// countRunning counts the hosts of an offer that are not terminated; c.mu must be held.
func (c *cloud) countRunning(o Offer) int {
	n := 0
	for _, h := range c.hosts {
		if h.State != HostTerminated && h.FailureDomain == o.FailureDomain && h.HostClass == o.HostClass && h.Market == o.Market {
			n++
		}
	}
	return n
}

// findOffer returns the offer of a host class in a failure domain and market; c.mu must be held.
func (c *cloud) findOffer(domain, class string, market Market) (Offer, bool) {
	for _, o := range c.offers {
		if o.FailureDomain == domain && o.HostClass == class && o.Market == market {
			return o, true
		}
	}
	return Offer{}, false
}

// startHost starts a host of an offer and gives it a free address of its failure domain,
// if there is one; c.mu must be held.
func (c *cloud) startHost(request startRequest, offer Offer) *Host {
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
	if free := c.freeAddresses[h.FailureDomain]; len(free) > 0 {
		h.Address = free[0]
		c.freeAddresses[h.FailureDomain] = free[1:]
	}
	c.hosts = append(c.hosts, h)
	return h
}

// snapshot returns all hosts ever started.
func (c *cloud) snapshot() []Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.terminateExpired(c.clock().UnixMilli())
	out := make([]Host, 0, len(c.hosts))
	for _, h := range c.hosts {
		out = append(out, *h)
	}
	return out
}

// SetOffers replaces the cloud's offers.
func (s *Server) SetOffers(offers []Offer) {
	s.cloud.mu.Lock()
	defer s.cloud.mu.Unlock()
	s.cloud.offers = offers
}

// SetAddresses sets the addresses that new hosts of a failure domain get, where their
// upstreams will listen.
func (s *Server) SetAddresses(failureDomain string, addresses []string) {
	s.cloud.mu.Lock()
	defer s.cloud.mu.Unlock()
	s.cloud.freeAddresses[failureDomain] = append([]string(nil), addresses...)
}

// Reclaim gives a reclaim notice to the running reclaimable hosts that match, and
// returns their number. An empty host, failureDomain or hostClass matches any.
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

// matches reports whether h matches the arguments, of which an empty one matches any host.
func matches(h *Host, host, failureDomain, hostClass string) bool {
	return (host == "" || h.ID == host) &&
		(failureDomain == "" || h.FailureDomain == failureDomain) &&
		(hostClass == "" || h.HostClass == hostClass)
}
