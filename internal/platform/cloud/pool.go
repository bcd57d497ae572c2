package cloud

import (
	"mangoledge.example/mangoledge/internal/ident"
)

// Pool is a source of hosts: a failure domain, a host class and a market.
type Pool struct {
	FailureDomain ident.FailureDomain `json:"failureDomain"`
	HostClass     ident.HostClass     `json:"hostClass"`
	Market        Market              `json:"market"`
}
