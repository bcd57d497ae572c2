package site

import "time"

// RouteKind determines whether requests of a route may be repeated.
type RouteKind uint8

const (
	// RouteNonIdempotent requests run at most once per client attempt. It is the zero value so
	// that requests of an unknown kind are never repeated.
	RouteNonIdempotent RouteKind = iota
	// RouteIdempotent requests may run more than once.
	RouteIdempotent
	// RouteStreaming requests are answered by a stream of numbered events.
	RouteStreaming
)

// String returns the value used in logs and metrics.
func (k RouteKind) String() string {
	switch k {
	case RouteIdempotent:
		return "idempotent"
	case RouteStreaming:
		return "streaming"
	case RouteNonIdempotent:
	}
	return "non_idempotent"
}

// Target is a service that gets a share of a route's requests.
type Target struct {
	Service string
	// Weight is relative to the weights of the route's other targets.
	Weight float64
}

// Route is one routing rule of the configuration.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       RouteKind
	Targets    []Target
	// Timeout is the longest time that a request may take; 0 means that the route sets no limit.
	Timeout time.Duration
	// TargetLatency is the time within which a response, or the first event of a stream, is on
	// time.
	TargetLatency time.Duration
	// Priority is the priority of the route; 0 is the most urgent.
	Priority int
	// MaxAttempts is the largest number of upstreams that one client attempt is sent to.
	MaxAttempts int
	// Public routes require no workspace key.
	Public bool
	// Resumable streams may continue at another upstream after the last event.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == RouteIdempotent || (r.Kind == RouteStreaming && r.Resumable)
}
