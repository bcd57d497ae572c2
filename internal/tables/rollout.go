package tables

import (
	"context"

	"mangoledge.example/mangoledge/internal/capacity"
)

// Rollout is a row of the table rollouts: a model some of whose replicas do not have its
// declared version.
type Rollout struct {
	Model    string `column:"model" doc:"the model's name"`
	Version  string `column:"version" doc:"version that is rolled out"`
	Replicas int    `column:"replicas" doc:"replicas wanted"`
	Ready    int    `column:"ready" doc:"replicas that take work with that version"`
	Outdated int    `column:"outdated" doc:"replicas that have another version"`
	State    string `column:"state" doc:"rolling, or waits for a spare host"`
}

// The values of Rollout.State.
const (
	rolloutRolling = "rolling"
	rolloutWaiting = "waits for a spare host"
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

// rolloutRow returns the row of a roll-out.
func rolloutRow(rollout capacity.Rollout) Rollout {
	state := rolloutRolling
	if rollout.WaitsForHost {
		state = rolloutWaiting
	}
	return Rollout{
		Model:    string(rollout.Model),
		Version:  string(rollout.Version),
		Replicas: rollout.Replicas,
		Ready:    rollout.Ready,
		Outdated: rollout.Outdated,
		State:    state,
	}
}
