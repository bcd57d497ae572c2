package capacity

import (
	"slices"

	"mangoledge.example/mangoledge/internal/config"
)

// assignRoles sets the roles that the engines of a model are to be ordered to take. Hosts that do
// not serve yet get the role at once; of those that do, a few change at a time. Engines that ignore
// fencing numbers get no role order, since a late order of an earlier holder would override a newer
// one.
func (p *planner) assignRoles(model config.Model) {
	staying := slices.DeleteFunc(p.stayingIntents(model.Name), func(i *Intent) bool { return i.Phase == PhaseMoving })
	changing := 0
	for _, i := range staying {
		if i.Phase == PhaseReady && i.Role != i.OrderedRole {
			changing++
		}
	}
	for _, i := range staying {
		switch {
		case i.Role == model.Role:
		case !checksFencing(p.in.Site, i.Pool):
			p.rolesNotOrdered = appendOnce(p.rolesNotOrdered, model.Name)
		case i.Phase != PhaseReady:
			i.Role = model.Role
		case changing < maxParallelMoves(model):
			i.Role = model.Role
			changing++
		}
	}
}

func appendOnce[T comparable](list []T, one T) []T {
	if slices.Contains(list, one) {
		return list
	}
	return append(list, one)
}
