package bench

import "mangoledge.example/mangoledge/internal/fleet"

// list returns the upstreams as they are now.
func (w *world) list() []fleet.Upstream {
	out := make([]fleet.Upstream, 0, len(w.engines))
	for _, e := range w.engines {
		u := e.upstream
		switch {
		case !e.alive:
			u.State = fleet.StateStarting
		case e.leaving:
			u.State = fleet.StateLeaving
		}
		out = append(out, u)
	}
	return out
}

// changed tells every node the new list, some time later.
func (w *world) changed() {
	for node := range w.shape.Nodes {
		delay := learnMin + w.clock.jitter(learnSpread)
		w.atNode(node, delay, func() { w.system.learn(node, w.list()) })
	}
}

// crash kills an engine because of what it ran.
func (w *world) crash(e *engine) {
	w.result.Crashes++
	e.die()
	w.changed()
	w.clock.after(restartTime, func() {
		if _, reclaimed := w.reclaimAt[e.upstream.ID]; reclaimed {
			return
		}
		e.start()
		w.changed()
	})
}
