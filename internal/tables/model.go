package tables

import (
	"context"

	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
)

// Model is a row of the table models.
type Model struct {
	Name     string `column:"name" doc:"the model's name"`
	Version  string `column:"version" doc:"version of its weights"`
	Adapters string `column:"adapters" doc:"adapters wanted, with commas"`
	Role     string `column:"role" doc:"role that its engines are ordered to take"`
	Replicas int    `column:"replicas" doc:"replicas wanted"`
	Ready    int    `column:"ready" doc:"replicas that take work, as this node knows"`
	Priority int    `column:"priority" doc:"0 to 9, 9 the most urgent when capacity is short"`
}

// provideModels fills the table models from the configuration and the known upstreams.
func provideModels(r *Registry, site func() config.Site, upstreams fleet.View) {
	Provide(r, func(context.Context) ([]Model, error) {
		return rowsOf(site().Models, func(m config.Model) Model {
			return Model{
				Name:     string(m.Name),
				Version:  string(m.Version),
				Adapters: joinCommas(m.Adapters),
				Role:     string(m.Role),
				Replicas: m.Replicas,
				Ready:    countReadyReplicas(upstreams, m.Name),
				Priority: m.Priority,
			}
		}), nil
	})
}

// countReadyReplicas returns the number of ready upstreams that serve model.
func countReadyReplicas(view fleet.View, model ident.Model) int {
	n := 0
	upstreams := view.Upstreams()
	for i := range upstreams {
		if upstreams[i].State == fleet.StateReady && upstreams[i].Serves(model) {
			n++
		}
	}
	return n
}
