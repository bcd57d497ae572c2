package tables

import (
	"context"

	"mangoledge.example/mangoledge/internal/capacity"
)

// Rollout is a row of the table rollouts: a model whose replicas do not all have its version.
type Rollout struct {
	Model    string `column:"model" doc:"the model's name"`
	Version  string `column:"version" doc:"version that is rolled out"`
	Replicas int    `column:"replicas" doc:"replicas wanted"`
	Ready    int    `column:"ready" doc:"replicas that take work with that version"`
	Outdated int    `column:"outdated" doc:"replicas that have another version"`
	State    string `column:"state" doc:"rolling, or waits for a spare host"`
}

// The states of a roll-out.
const (
	rolloutRolling = "rolling"
	rolloutWaits   = "waits for a spare host"
)

// ProvideRollouts fills the table rollouts; list is nil on a node that never reconciles.
func ProvideRollouts(r *Registry, list func() []capacity.Rollout) {
	Provide(r, func(context.Context) ([]Rollout, error) {
		if list == nil {
			return nil, nil
		}
		return rowsOf(list(), rolloutRow), nil
	})
}

func rolloutRow(o capacity.Rollout) Rollout {
	state := rolloutRolling
	if o.WaitsForHost {
		state = rolloutWaits
	}
	return Rollout{
		Model:    string(o.Model),
		Version:  string(o.Version),
		Replicas: o.Replicas,
		Ready:    o.Ready,
		Outdated: o.Outdated,
		State:    state,
	}
}
