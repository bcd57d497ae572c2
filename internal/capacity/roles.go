package capacity

import (
	"slices"

	"mangoledge.example/mangoledge/internal/config"
)

// assignRoles writes down which roles a model's engines are to be ordered to take. A
// host that does not take work yet gets it at once; of those that do, a few at a
// time. Engines that ignore fencing numbers get no such order, since a late one of an
// earlier holder would undo a later one.
func (p *planner) assignRoles(model config.Model) {
	staying := slices.DeleteFunc(p.staying(model.Name), func(i *Intent) bool { return i.Phase == PhaseMoving })
	onTheWay := 0
	for _, i := range staying {
		if i.Phase == PhaseReady && i.Role != i.OrderedRole {
			onTheWay++
		}
	}
	for _, i := range staying {
		switch {
		case i.Role == model.Role:
		case !checksFencing(p.in.Site, i.Pool):
			p.unordered = appendOnce(p.unordered, model.Name)
		case i.Phase != PhaseReady:
			i.Role = model.Role
		case onTheWay < economySteps(model):
			i.Role = model.Role
			onTheWay++
		}
	}
}

func appendOnce[T comparable](list []T, one T) []T {
	if slices.Contains(list, one) {
		return list
	}
	return append(list, one)
}
