package capacity

import (
	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/ident"
)

// Rollout is how far a model's declared version has come.
type Rollout struct {
	Model   ident.Model
	Version ident.Version
	// Replicas is how many are wanted.
	Replicas int
	// Outdated counts the replicas that have another version.
	Outdated int
	// Ready counts the replicas that take work with the declared version.
	Ready int
	// Waits is true when no host can be had beyond the wanted number, so that no
	// replica of another version may leave.
	Waits bool
}

// noteRollout notes how far the version of a model has come, while it is rolled.
func (p *planner) noteRollout(model config.Model) {
	out := Rollout{Model: model.Name, Version: model.Version, Replicas: model.Replicas}
	onTheWay := 0
	staying := p.staying(model.Name)
	for _, i := range staying {
		switch {
		case i.Phase == PhaseMoving:
			onTheWay++
		case i.Version != model.Version:
			out.Outdated++
		case i.Phase == PhaseReady:
			out.Ready++
		default:
			onTheWay++
		}
	}
	if out.Outdated == 0 {
		return
	}
	out.Waits = onTheWay == 0 && len(staying) <= model.Replicas
	p.rollouts = append(p.rollouts, out)
}
