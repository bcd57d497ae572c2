package tables

import (
	"context"

	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
)

// Service is a row of the table services: a declared plain service.
type Service struct {
	Name       string `column:"name" doc:"the plain service's name"`
	Repeatable bool   `column:"repeatable" doc:"false when its calls must not be repeated"`
	Ready      int    `column:"ready" doc:"upstreams that take work, as this node knows"`
}

// provideServices fills the table services from the configuration and the known upstreams.
func provideServices(r *Registry, site func() config.Site, upstreams fleet.View) {
	Provide(r, func(context.Context) ([]Service, error) {
		return rowsOf(site().Services, func(s config.Service) Service {
			return Service{
				Name:       string(s.Name),
				Repeatable: s.Repeatable,
				Ready:      countReadyUpstreams(upstreams, s.Name),
			}
		}), nil
	})
}

// countReadyUpstreams returns the number of ready upstreams that serve service.
func countReadyUpstreams(view fleet.View, service ident.Service) int {
	n := 0
	upstreams := view.Upstreams()
	for i := range upstreams {
		if upstreams[i].State == fleet.StateReady && upstreams[i].Service == service {
			n++
		}
	}
	return n
}
