package bench

import "time"

// startReports starts the load reports and cache events of all engines, spread evenly over
// the interval.
func (w *world) startReports() {
	for i, e := range w.engines {
		offset := reportInterval * time.Duration(i) / time.Duration(len(w.engines))
		w.clock.at(offset, func() { w.reportEngine(e) })
	}
}

// reportEngine schedules the engine's next report and sends the present one to all nodes.
func (w *world) reportEngine(e *engine) {
	w.clock.after(reportInterval, func() { w.reportEngine(e) })
	if !e.alive {
		return
	}
	lag := reportDelay
	if w.scenario.Has(FaultStale) {
		lag = w.staleDelay()
	}
	load := e.load()
	events := e.cache.takeEvents()
	if w.clock.random.Float64() < eventLossRate && !w.perfectInformation {
		events = nil
	}
	for node := range w.shape.Nodes {
		w.afterMessage(node, lag, func() {
			w.system.recordLoad(node, e.upstream.ID, load)
			if len(events) > 0 {
				w.system.applyCacheEvents(node, e.upstream.ID, events)
			}
		})
	}
}

// staleDelay returns the delay of reports under FaultStale: staleReportDelay in the middle
// of the run, reportDelay otherwise.
func (w *world) staleDelay() time.Duration {
	if w.clock.now < w.shape.scale(15*time.Second) || w.clock.now > w.shape.scale(45*time.Second) {
		return reportDelay
	}
	return w.shape.scale(staleReportDelay)
}
