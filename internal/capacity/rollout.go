package capacity

import (
	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/ident"
)

// Rollout is the progress of the roll-out of a model's declared version.
type Rollout struct {
	Model   ident.Model
	Version ident.Version
	// Replicas is the declared number of replicas.
	Replicas int
	// Outdated counts the replicas that have another version.
	Outdated int
	// Ready counts the ready replicas that have the declared version.
	Ready int
	// WaitsForHost is set if no host beyond the declared number can be had, so that no replica of
	// another version may leave.
	WaitsForHost bool
}

// recordRollout records the progress of a model's roll-out, if there is one.
func (p *planner) recordRollout(model config.Model) {
	out := Rollout{Model: model.Name, Version: model.Version, Replicas: model.Replicas}
	pending := 0
	staying := p.stayingIntents(model.Name)
	for _, i := range staying {
		switch {
		case i.Phase == PhaseMoving:
			pending++
		case i.Version != model.Version:
			out.Outdated++
		case i.Phase == PhaseReady:
			out.Ready++
		default:
			pending++
		}
	}
	if out.Outdated == 0 {
		return
	}
	out.WaitsForHost = pending == 0 && len(staying) <= model.Replicas
	p.rollouts = append(p.rollouts, out)
}
