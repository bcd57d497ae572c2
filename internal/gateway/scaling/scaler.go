package scaling

import (
	"context"
	"log/slog"
	"time"

	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/lease"
)

// registrationSettleTime is the time without a further registration after which all running
// upstreams are assumed to have registered: two of their heartbeat intervals.
const registrationSettleTime = 2500 * time.Millisecond

// Holder checks whether this node holds the lease, and returns its fence.
type Holder interface {
	Check() (lease.Fence, error)
}

// Result is the result of sending an order.
type Result uint8

const (
	// Unknown orders may or may not be in effect.
	Unknown Result = iota
	// Accepted orders are in effect.
	Accepted
	// NoneAvailable orders cannot be fulfilled in the domain for now.
	NoneAvailable
	// Fenced orders were rejected because a later lease holder has sent an order.
	Fenced
)

// String returns the value used in logs.
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

// Send sends one order to the platform.
type Send func(ctx context.Context, fence lease.Fence, service string, order Order) Result

// Scaler sends the orders of all services while this node holds the lease.
type Scaler struct {
	Holder Holder
	Send   Send
	Now    func() time.Time
	Logger *slog.Logger
	// FirstStart reports whether the whole deployment starts for the first time. Otherwise
	// nothing is ordered before the demand is measured, as the orders in effect were placed for a
	// reason.
	FirstStart func() bool

	// initial holds, by service, the upstreams seen before the demand was measured.
	initial  map[string]*initialUpstreams
	standing map[orderKey]*standingOrder
	fence    lease.Fence
	// rejectedFence is the fence of an order that was rejected as Fenced. It is not used again.
	rejectedFence lease.Fence
}

type orderKey struct {
	service     string
	domain      string
	reclaimable bool
}

// SendOrders sends the orders of a service that differ from the orders in effect.
func (s *Scaler) SendOrders(ctx context.Context, service site.Service, in Inputs) {
	fence, err := s.Holder.Check()
	if err != nil || (fence == s.rejectedFence && s.rejectedFence != 0) {
		s.standing = nil
		return
	}
	if s.standing == nil || fence != s.fence {
		s.standing, s.fence = make(map[orderKey]*standingOrder), fence
	}
	now := s.Now()
	initial := s.recordInitial(service.Name, in.Domains, now)
	if !in.Measured && (!s.FirstStart() || !initial.settled(now)) {
		return
	}
	in.PeakOnDemand = initial.most
	running := make(map[orderKey]int)
	for i := range in.Domains {
		d := &in.Domains[i]
		running[orderKey{service.Name, d.Name, false}] = d.OnDemand
		running[orderKey{service.Name, d.Name, true}] = d.Reclaimable
		order := s.standingOrderOf(orderKey{service.Name, d.Name, true})
		d.ReclaimableUnavailable = d.ReclaimableUnavailable || order.unavailable(now)
		d.Pending = order.pending(d.Reclaimable, in.Scaling.BootTime, now)
	}
	for _, order := range Plan(in) {
		key := orderKey{service.Name, order.Domain, order.Reclaimable}
		if in.Measured {
			s.standingOrderOf(key).adoptRunning(order.Count, running[key])
		}
		s.sendIfDue(ctx, key, order, running[key], in)
	}
}

// initialUpstreams is the largest number of on-demand upstreams seen (most), and when that number
// was first seen (since).
type initialUpstreams struct {
	most  int
	since time.Time
}

// settled reports whether all running upstreams have presumably registered.
func (i *initialUpstreams) settled(now time.Time) bool {
	return i.most > 0 && now.Sub(i.since) >= registrationSettleTime
}

// recordInitial updates and returns the largest number of on-demand upstreams seen.
func (s *Scaler) recordInitial(service string, domains []Domain, now time.Time) *initialUpstreams {
	if s.initial == nil {
		s.initial = make(map[string]*initialUpstreams)
	}
	if s.initial[service] == nil {
		s.initial[service] = &initialUpstreams{}
	}
	sum := 0
	for _, d := range domains {
		sum += d.OnDemand
	}
	initial := s.initial[service]
	if sum > initial.most {
		initial.most, initial.since = sum, now
	}
	return initial
}

// standingOrderOf returns the last order for the key, creating an empty one if needed.
func (s *Scaler) standingOrderOf(key orderKey) *standingOrder {
	if s.standing[key] == nil {
		s.standing[key] = &standingOrder{count: -1}
	}
	return s.standing[key]
}

// sendIfDue sends an order if it is due. The lease is checked immediately before.
func (s *Scaler) sendIfDue(ctx context.Context, key orderKey, order Order, running int, in Inputs) {
	standing := s.standingOrderOf(key)
	count, ok := standing.due(order.Count, running, in.Scaling.BootTime, s.Now())
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
	standing.recordResult(count, result, s.Now())
	if result == Fenced {
		s.rejectedFence = fence
	}
	s.Logger.Info("upstreams ordered", "service", key.service, "failure_domain", order.Domain, "reclaimable", order.Reclaimable,
		"count", count, "before", before, "running", running, "fence", fence, "result", result.String(),
		"demand", in.PrefillDemand, "latency_ratio", in.LatencyRatio,
		"prefill_rate", in.PrefillRate, "mean_speed", in.MeanSpeed, "open", in.OpenRequests)
}
