package config

import (
	"mangoledge.example/mangoledge/internal/ident"
)

// Capacity limits the hosts that the site pays for in one failure domain, host class and market.
type Capacity struct {
	FailureDomain ident.FailureDomain `json:"failureDomain"`
	HostClass     ident.HostClass     `json:"hostClass"`
	// MaxHosts is the maximum number of hosts.
	MaxHosts int `json:"maxHosts"`
	// MaxPricePerHour is the maximum price per host-hour.
	MaxPricePerHour float64 `json:"maxPricePerHour"`
	// Reclaimable selects the market: reclaimable hosts when true, on-demand hosts when false.
	Reclaimable bool `json:"reclaimable"`
	// ChecksFencing is true when engines on these hosts reject orders with an outdated fencing number.
	ChecksFencing bool `json:"checksFencing,omitempty"`
}
