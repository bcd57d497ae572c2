package capacity

import "mangoledge.example/mangoledge/internal/config"

// followDrains notes which intents operators drain. Such a host is no replica of its
// model, but is paid for.
func (p *planner) followDrains() {
	p.drained = make(map[string]bool)
	if len(p.in.Site.Drains) == 0 {
		return
	}
	p.intents(func(i *Intent) {
		if i.Host != "" && p.in.Site.Drained(i.Host, upstreamOf(i.Host)) {
			p.drained[i.Token] = true
		}
	})
}

// releaseDrained lets the drained hosts of a model leave once its declared number is
// ready without them. Until then a drain that is cleared brings its host back.
func (p *planner) releaseDrained(model config.Model) {
	if len(p.drained) == 0 || countReady(p.staying(model.Name)) < model.Replicas {
		return
	}
	p.intents(func(i *Intent) {
		if i.Model == model.Name && p.drained[i.Token] {
			p.leave(i)
		}
	})
}
