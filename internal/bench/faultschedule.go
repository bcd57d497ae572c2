package bench

import (
	"time"

	"mangoledge.example/mangoledge/internal/fleet"
)

const (
	// slowFactor is by what factor the step times of a slow engine grow.
	slowFactor = 3
	// slowEvery and silentEvery select one engine in that many to be slow, or to have its
	// connections go silent.
	slowEvery   = 7
	silentEvery = 5
	// pauseDuration is how long a node is paused.
	pauseDuration = 4 * time.Second
	// poisonInterval is the time between two requests with the poison content.
	poisonInterval = 700 * time.Millisecond
)

// scheduleFaults schedules the faults of the scenario.
func (w *world) scheduleFaults() {
	at := w.shape.scale
	if w.scenario.Has(FaultReclaim) {
		w.clock.at(at(20*time.Second), w.reclaim)
	}
	if w.scenario.Has(FaultSlow) {
		w.clock.at(at(15*time.Second), func() { w.setSlow(slowFactor) })
		w.clock.at(at(45*time.Second), func() { w.setSlow(1) })
	}
	if w.scenario.Has(FaultSilent) {
		w.clock.at(at(18*time.Second), w.silenceConnections)
		w.clock.at(at(30*time.Second), w.silenceConnections)
	}
	if w.scenario.Has(FaultPause) {
		w.clock.at(at(22*time.Second), func() { w.pausedUntil[1] = w.clock.now + pauseDuration })
	}
}

// reclaim announces that model hosts of the first failure domain are taken, and takes them
// after noticeTime.
func (w *world) reclaim() {
	var lost []*engine
	for i, e := range w.engines {
		if e.upstream.FailureDomain != "d0" || e.upstream.Service != "" {
			continue
		}
		if w.shape.LostFraction < 1 && float64(i%10) >= 10*w.shape.LostFraction {
			continue
		}
		lost = append(lost, e)
	}
	for _, e := range lost {
		e.leaving = true
		w.reclaimAt[e.upstream.ID] = w.clock.now + noticeTime
	}
	w.broadcastList()
	w.clock.after(noticeTime, func() { w.removeReclaimed(lost) })
}

// removeReclaimed stops the reclaimed engines. Their replacements start after replaceTime,
// unless starts are refused.
func (w *world) removeReclaimed(lost []*engine) {
	for _, e := range lost {
		e.kill()
	}
	w.broadcastList()
	if w.scenario.Has(FaultRefusedStarts) {
		return
	}
	w.clock.after(w.shape.scale(replaceTime), func() {
		for _, e := range lost {
			delete(w.reclaimAt, e.upstream.ID)
			e.start()
		}
		w.broadcastList()
	})
}

// setSlow sets the slowdown of the engines that slowEvery selects.
func (w *world) setSlow(factor float64) {
	for i, e := range w.engines {
		if i%slowEvery == 1 && e.upstream.Service == "" {
			e.slowdown = factor
		}
	}
}

// silenceConnections makes the open connections to the engines that silentEvery selects
// deliver nothing any more.
func (w *world) silenceConnections() {
	for i, e := range w.engines {
		if i%silentEvery != 2 {
			continue
		}
		for _, a := range e.running {
			a.silent = true
		}
	}
}

// reclaimTime returns the announced time at which u is taken, or zero if no reclaim of it
// was announced.
func (w *world) reclaimTime(u *fleet.Upstream) time.Time {
	at, ok := w.reclaimAt[u.ID]
	if !ok {
		return time.Time{}
	}
	return epoch.Add(at)
}

// noticeLeft returns how long a leaving upstream continues to run.
func (w *world) noticeLeft(u *fleet.Upstream) time.Duration {
	at, ok := w.reclaimAt[u.ID]
	if !ok {
		return 0
	}
	return max(0, at-w.clock.now)
}

// lateSendLimit is how long after its notice a leaving upstream may still be sent
// requests.
const lateSendLimit = 3 * time.Second

// countLateSend counts a request that is sent to a leaving upstream after lateSendLimit.
func (w *world) countLateSend(e *engine) {
	at, ok := w.reclaimAt[e.upstream.ID]
	if ok && w.clock.now-(at-noticeTime) > lateSendLimit {
		w.result.LateSends++
	}
}
