package tables

import (
	"context"

	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/fleet"
)

// Config is the row of the table config, which describes the configuration in force.
type Config struct {
	Version       int     `column:"version" doc:"version in force on this node"`
	Change        string  `column:"change" doc:"the change that made it"`
	LatencyWeight float64 `column:"latencyWeight" doc:"weight of the latency target, 0 to 1"`
	Stale         string  `column:"stale" doc:"why it may be out of date; empty when it is not"`
}

// ProvideConfiguration fills the tables config, models, services, workspaces, kinds
// and capacity. stale returns the reason why the configuration may be out of date, or "".
func ProvideConfiguration(r *Registry, view config.View, upstreams fleet.View, stale func() string) {
	site := func() config.Site {
		if current := view.Current(); current != nil {
			return *current
		}
		return config.Site{}
	}
	provideConfig(r, site, stale)
	provideModels(r, site, upstreams)
	provideServices(r, site, upstreams)
	provideWorkspaces(r, site)
	provideKinds(r, site)
	provideCapacity(r, site)
}

// provideConfig fills the table config.
func provideConfig(r *Registry, site func() config.Site, stale func() string) {
	Provide(r, func(context.Context) ([]Config, error) {
		s := site()
		row := Config{
			Version:       int(s.Version),
			Change:        string(s.Change),
			LatencyWeight: s.Weights.Latency,
			Stale:         stale(),
		}
		return []Config{row}, nil
	})
}
