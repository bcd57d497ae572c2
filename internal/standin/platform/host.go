package platform

// Market is the terms under which a host is rented.
type Market string

// The markets.
const (
	MarketReclaimable Market = "reclaimable"
	MarketOnDemand    Market = "on-demand"
)

// HostState is the state of a host according to the cloud.
type HostState string

// The states of a host.
const (
	HostRunning    HostState = "running"
	HostReclaiming HostState = "reclaiming"
	HostTerminated HostState = "terminated"
)

// Host is one host according to the cloud.
type Host struct {
	ID            string    `json:"id"`
	ClientToken   string    `json:"clientToken"`
	FailureDomain string    `json:"failureDomain"`
	HostClass     string    `json:"hostClass"`
	Market        Market    `json:"market"`
	State         HostState `json:"state"`
	// Address is where an upstream on the host listens, or empty.
	Address      string  `json:"address,omitempty"`
	PricePerHour float64 `json:"pricePerHour"`
	StartedMs    int64   `json:"startedMs"`
	// EndedMs is when the host was terminated, or 0.
	EndedMs int64 `json:"endedMs,omitempty"`
	// ReclaimAtMs is when a host with a reclaim notice is terminated.
	ReclaimAtMs int64 `json:"reclaimAtMs,omitempty"`
}
