package platform

// Market is where a host comes from.
type Market string

// The markets.
const (
	MarketReclaimable Market = "reclaimable"
	MarketOnDemand    Market = "on-demand"
)

// HostState is the state of a host in the cloud's books.
type HostState string

// The states of a host.
const (
	HostRunning    HostState = "running"
	HostReclaiming HostState = "reclaiming"
	HostTerminated HostState = "terminated"
)

// Host is one host in the cloud's books.
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
	// EndedMs is 0 while the host runs.
	EndedMs int64 `json:"endedMs,omitempty"`
	// ReclaimAtMs is when a reclaiming host is taken.
	ReclaimAtMs int64 `json:"reclaimAtMs,omitempty"`
}
