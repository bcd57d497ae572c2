package tables

import (
	"context"

	"mangoledge.example/mangoledge/internal/config"
)

// Kind is a row of the table kinds.
type Kind struct {
	Name  string  `column:"name" doc:"kind of work"`
	Worth float64 `column:"worth" doc:"weight of an answer that is whole and in time"`
}

// provideKinds fills the table kinds from the configuration.
func provideKinds(r *Registry, site func() config.Site) {
	Provide(r, func(context.Context) ([]Kind, error) {
		return rowsOf(site().Kinds, func(k config.Kind) Kind {
			return Kind{Name: string(k.Name), Worth: k.Worth}
		}), nil
	})
}
