package tables

import (
	"context"

	"mangoledge.example/mangoledge/internal/config"
)

// Workspace is a row of the table workspaces.
type Workspace struct {
	Name        string  `column:"name" doc:"the workspace's name"`
	Share       float64 `column:"share" doc:"its weight in fair queueing"`
	MaxInFlight int     `column:"maxInFlight" doc:"requests at once on one node, 0 for no limit"`
}

// provideWorkspaces fills the table workspaces from the configuration.
func provideWorkspaces(r *Registry, site func() config.Site) {
	Provide(r, func(context.Context) ([]Workspace, error) {
		return rowsOf(site().Workspaces, func(w config.Workspace) Workspace {
			return Workspace{Name: string(w.Name), Share: w.Share, MaxInFlight: w.MaxInFlight}
		}), nil
	})
}
