package config

import (
	"mangoledge.example/mangoledge/internal/ident"
)

// Capacity is what the site will pay for in one failure domain and host class.
type Capacity struct {
	FailureDomain ident.FailureDomain `json:"failureDomain"`
	HostClass     ident.HostClass     `json:"hostClass"`
	// MaxHosts is the most hosts to pay for.
	MaxHosts int `json:"maxHosts"`
	// MaxPricePerHour is the highest price per host-hour to pay.
	MaxPricePerHour float64 `json:"maxPricePerHour"`
	// Reclaimable says which market the hosts come from.
	Reclaimable bool `json:"reclaimable"`
	// ChecksFencing is true when engines on these hosts refuse orders with an old fencing number.
	ChecksFencing bool `json:"checksFencing,omitempty"`
}
