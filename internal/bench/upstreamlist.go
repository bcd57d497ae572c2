package bench

import "mangoledge.example/mangoledge/internal/fleet"

// upstreamList returns all upstreams with their present states.
func (w *world) upstreamList() []fleet.Upstream {
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

// broadcastList sends the list of upstreams to every node, which receives it as it is
// after a random delay.
func (w *world) broadcastList() {
	for node := range w.shape.Nodes {
		delay := listDelayMin + w.clock.jitter(listDelaySpread)
		w.afterMessage(node, delay, func() { w.system.updateUpstreams(node, w.upstreamList()) })
	}
}

// crashEngine stops an engine that ran poison content, and restarts it after restartTime
// unless its host is being reclaimed.
func (w *world) crashEngine(e *engine) {
	w.result.Crashes++
	e.kill()
	w.broadcastList()
	w.clock.after(restartTime, func() {
		if _, reclaimed := w.reclaimAt[e.upstream.ID]; reclaimed {
			return
		}
		e.start()
		w.broadcastList()
	})
}
