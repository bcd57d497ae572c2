package tables

import (
	"context"

	"mangoledge.example/mangoledge/internal/config"
)

// Capacity is a row of the table capacity.
type Capacity struct {
	FailureDomain   string  `column:"failureDomain" doc:"failure domain"`
	HostClass       string  `column:"hostClass" doc:"host class"`
	MaxHosts        int     `column:"maxHosts" doc:"most hosts to pay for"`
	MaxPricePerHour float64 `column:"maxPricePerHour" doc:"highest price per host and hour, in the site's currency"`
	Reclaimable     bool    `column:"reclaimable" doc:"which market the hosts come from"`
	ChecksFencing   bool    `column:"checksFencing" doc:"true when engines there refuse orders with an old fencing number"`
}

// provideCapacity fills the table capacity from the configuration.
func provideCapacity(r *Registry, site func() config.Site) {
	Provide(r, func(context.Context) ([]Capacity, error) {
		return rowsOf(site().Capacity, func(c config.Capacity) Capacity {
			return Capacity{
				FailureDomain:   string(c.FailureDomain),
				HostClass:       string(c.HostClass),
				MaxHosts:        c.MaxHosts,
				MaxPricePerHour: c.MaxPricePerHour,
				Reclaimable:     c.Reclaimable,
				ChecksFencing:   c.ChecksFencing,
			}
		}), nil
	})
}
