package bench

import "time"

// reports sends load reports and cache events of every engine, now and then.
func (w *world) reports() {
	for i, e := range w.engines {
		offset := reportEvery * time.Duration(i) / time.Duration(len(w.engines))
		w.clock.at(offset, func() { w.reportOf(e) })
	}
}

func (w *world) reportOf(e *engine) {
	w.clock.after(reportEvery, func() { w.reportOf(e) })
	if !e.alive {
		return
	}
	lag := reportLag
	if w.scenario.Has(FaultStale) {
		lag = w.staleness()
	}
	load := e.load()
	events := e.cache.takeEvents()
	if w.clock.random.Float64() < eventGaps && !w.omniscient {
		events = nil
	}
	for node := range w.shape.Nodes {
		w.atNode(node, lag, func() {
			w.system.report(node, e.upstream.ID, load)
			if len(events) > 0 {
				w.system.events(node, e.upstream.ID, events)
			}
		})
	}
}

// staleness returns how late reports are: staleLag in the middle of the run.
func (w *world) staleness() time.Duration {
	if w.clock.now < w.shape.scale(15*time.Second) || w.clock.now > w.shape.scale(45*time.Second) {
		return reportLag
	}
	return w.shape.scale(staleLag)
}
