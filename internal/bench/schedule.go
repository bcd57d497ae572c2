package bench

import (
	"time"

	"mangoledge.example/mangoledge/internal/fleet"
)

const (
	// slowFactor is how much slower a slow engine is.
	slowFactor = 3
	// slowEvery and silentEvery: one engine in so many is slow, or its connections go silent.
	slowEvery   = 7
	silentEvery = 5
	// pauseTime is how long a node is paused.
	pauseTime = 4 * time.Second
	// poisonEvery is the time between two resends of the poison content.
	poisonEvery = 700 * time.Millisecond
)

// schedule plans the faults.
func (w *world) schedule() {
	at := w.shape.scale
	if w.scenario.Has(FaultReclaim) {
		w.clock.at(at(20*time.Second), w.reclaim)
	}
	if w.scenario.Has(FaultSlow) {
		w.clock.at(at(15*time.Second), func() { w.setSlow(slowFactor) })
		w.clock.at(at(45*time.Second), func() { w.setSlow(1) })
	}
	if w.scenario.Has(FaultSilent) {
		w.clock.at(at(18*time.Second), w.silence)
		w.clock.at(at(30*time.Second), w.silence)
	}
	if w.scenario.Has(FaultPause) {
		w.clock.at(at(22*time.Second), func() { w.paused[1] = w.clock.now + pauseTime })
	}
}

// reclaim gives notice to a domain's hosts and takes them when it is over.
func (w *world) reclaim() {
	var lost []*engine
	for i, e := range w.engines {
		if e.upstream.FailureDomain != "d0" || e.upstream.Service != "" {
			continue
		}
		if w.shape.LostPart < 1 && float64(i%10) >= 10*w.shape.LostPart {
			continue
		}
		lost = append(lost, e)
	}
	for _, e := range lost {
		e.leaving = true
		w.reclaimAt[e.upstream.ID] = w.clock.now + noticeTime
	}
	w.changed()
	w.clock.after(noticeTime, func() { w.take(lost) })
}

func (w *world) take(lost []*engine) {
	for _, e := range lost {
		e.die()
	}
	w.changed()
	if w.scenario.Has(FaultRefused) {
		return
	}
	w.clock.after(w.shape.scale(replaceTime), func() {
		for _, e := range lost {
			delete(w.reclaimAt, e.upstream.ID)
			e.start()
		}
		w.changed()
	})
}

func (w *world) setSlow(factor float64) {
	for i, e := range w.engines {
		if i%slowEvery == 1 && e.upstream.Service == "" {
			e.slow = factor
		}
	}
}

// silence makes the open connections to some engines go silent for good.
func (w *world) silence() {
	for i, e := range w.engines {
		if i%silentEvery != 2 {
			continue
		}
		for _, a := range e.running {
			a.silent = true
		}
	}
}

// announced returns when the reclaim of u was to take it, or zero when there was none.
func (w *world) announced(u *fleet.Upstream) time.Time {
	at, ok := w.reclaimAt[u.ID]
	if !ok {
		return time.Time{}
	}
	return epoch.Add(at)
}

// noticeLeft returns how long a leaving upstream is still there.
func (w *world) noticeLeft(u *fleet.Upstream) time.Duration {
	at, ok := w.reclaimAt[u.ID]
	if !ok {
		return 0
	}
	return max(0, at-w.clock.now)
}

// leavingLimit is after what time an upstream that is leaving must get no new work.
const leavingLimit = 3 * time.Second

// noteSend counts work that is sent to an upstream that has long been leaving.
func (w *world) noteSend(e *engine) {
	at, ok := w.reclaimAt[e.upstream.ID]
	if ok && w.clock.now-(at-noticeTime) > leavingLimit {
		w.result.LateWork++
	}
}
