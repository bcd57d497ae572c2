package capacity

import "mangoledge.example/mangoledge/internal/config"

// markDrained records the intents whose hosts operators drain. Such a host does not count as a
// replica of its model, but is still billed.
func (p *planner) markDrained() {
	p.drained = make(map[string]bool)
	if len(p.in.Site.Drains) == 0 {
		return
	}
	p.forEachIntent(func(i *Intent) {
		if i.Host != "" && p.in.Site.IsDrained(i.Host, upstreamID(i.Host)) {
			p.drained[i.Token] = true
		}
	})
}

// removeDrained makes the drained hosts of a model leave once the declared number of replicas is
// ready without them. Until then, clearing the drain returns the host to service.
func (p *planner) removeDrained(model config.Model) {
	if len(p.drained) == 0 || countReady(p.stayingIntents(model.Name)) < model.Replicas {
		return
	}
	p.forEachIntent(func(i *Intent) {
		if i.Model == model.Name && p.drained[i.Token] {
			p.startLeaving(i)
		}
	})
}
