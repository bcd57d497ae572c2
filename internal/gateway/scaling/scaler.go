package scaling

import (
	"context"
	"log/slog"
	"time"

	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/lease"
)

// settleTime is for how long no further upstream registers until all have: two of
// their heartbeats.
const settleTime = 2500 * time.Millisecond

// Holder tells whether this node may act.
type Holder interface {
	Check() (lease.Fence, error)
}

// Result is what became of an order.
type Result uint8

const (
	// Unknown orders may or may not stand.
	Unknown Result = iota
	// Accepted orders stand.
	Accepted
	// NoneAvailable orders cannot be met there now.
	NoneAvailable
	// Fenced orders came after one of a later holder.
	Fenced
)

// String returns the result as logs spell it.
func (r Result) String() string {
	switch r {
	case Accepted:
		return "accepted"
	case NoneAvailable:
		return "none_available"
	case Fenced:
		return "fenced"
	case Unknown:
	}
	return "unknown"
}

// Send gives one order.
type Send func(ctx context.Context, fence lease.Fence, service string, order Order) Result

// Scaler gives the orders of all services while this node holds the duty.
type Scaler struct {
	Holder Holder
	Send   Send
	Now    func() time.Time
	Logger *slog.Logger
	// FirstStart reports whether the whole system starts for the first time. Else nothing
	// is ordered before work was measured: what stands was ordered for a reason.
	FirstStart func() bool

	// found is the upstreams of each service that ran before work was measured.
	found    map[string]*foundUpstreams
	standing map[orderKey]*standingOrder
	fence    lease.Fence
	// fencedBy is the fence with which an order was refused; it is not used again.
	fencedBy lease.Fence
}

type orderKey struct {
	service     string
	domain      string
	reclaimable bool
}

// Step gives the orders of a service that differ from what stands.
func (s *Scaler) Step(ctx context.Context, service site.Service, in Inputs) {
	fence, err := s.Holder.Check()
	if err != nil || (fence == s.fencedBy && s.fencedBy != 0) {
		s.standing = nil
		return
	}
	if s.standing == nil || fence != s.fence {
		s.standing, s.fence = make(map[orderKey]*standingOrder), fence
	}
	now := s.Now()
	found := s.noteFound(service.Name, in.Domains, now)
	if !in.Measured && (!s.FirstStart() || !found.settled(now)) {
		return
	}
	in.Found = found.most
	running := make(map[orderKey]int)
	for i := range in.Domains {
		d := &in.Domains[i]
		running[orderKey{service.Name, d.Name, false}] = d.OnDemand
		running[orderKey{service.Name, d.Name, true}] = d.Reclaimable
		order := s.order(orderKey{service.Name, d.Name, true})
		d.Dry = d.Dry || order.dry(now)
		d.Coming = order.coming(d.Reclaimable, in.Scaling.Boot, now)
	}
	for _, order := range Plan(in) {
		key := orderKey{service.Name, order.Domain, order.Reclaimable}
		if in.Measured {
			s.order(key).adopt(order.Count, running[key])
		}
		s.give(ctx, key, order, running[key], in.Scaling.Boot)
	}
}

// foundUpstreams is what ran of a service before work was measured.
type foundUpstreams struct {
	most  int
	since time.Time
}

// settled reports whether all that run have registered.
func (f *foundUpstreams) settled(now time.Time) bool {
	return f.most > 0 && now.Sub(f.since) >= settleTime
}

// noteFound notes the most upstreams that were seen on demand.
func (s *Scaler) noteFound(service string, domains []Domain, now time.Time) *foundUpstreams {
	if s.found == nil {
		s.found = make(map[string]*foundUpstreams)
	}
	if s.found[service] == nil {
		s.found[service] = &foundUpstreams{}
	}
	sum := 0
	for _, d := range domains {
		sum += d.OnDemand
	}
	found := s.found[service]
	if sum > found.most {
		found.most, found.since = sum, now
	}
	return found
}

// order returns what stands of one kind in one domain.
func (s *Scaler) order(key orderKey) *standingOrder {
	if s.standing[key] == nil {
		s.standing[key] = &standingOrder{count: -1}
	}
	return s.standing[key]
}

// give gives an order if it is due. The lease is checked right before.
func (s *Scaler) give(ctx context.Context, key orderKey, order Order, running int, boot time.Duration) {
	standing := s.order(key)
	count, ok := standing.due(order.Count, running, boot, s.Now())
	if !ok {
		return
	}
	fence, err := s.Holder.Check()
	if err != nil {
		return
	}
	order.Count = count
	before := standing.count
	result := s.Send(ctx, fence, key.service, order)
	standing.note(count, result, s.Now())
	if result == Fenced {
		s.fencedBy = fence
	}
	s.Logger.Info("upstreams ordered", "service", key.service, "failure_domain", order.Domain, "reclaimable", order.Reclaimable,
		"count", count, "before", before, "running", running, "fence", fence, "result", result.String())
}
