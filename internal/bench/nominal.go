package bench

import (
	"math/rand/v2"
	"sync"
	"time"
)

// nominalMeasureTime is how long an engine is measured for its nominal rate, in virtual
// time.
const nominalMeasureTime = 2 * time.Minute

// nominalRates caches the results of NominalRate by the shape's name.
var (
	nominalMu    sync.Mutex
	nominalRates = make(map[string]float64)
)

// NominalRate returns the rate of model requests a second that all replicas of shape serve if
// each is always full and gets its requests at random.
func NominalRate(shape Shape) float64 {
	nominalMu.Lock()
	defer nominalMu.Unlock()
	if rate, ok := nominalRates[shape.Name]; ok {
		return rate
	}
	rate := measureEngine(shape) * float64(shape.Replicas)
	nominalRates[shape.Name] = rate
	return rate
}

// measureEngine returns the requests a second of one engine that is always full.
func measureEngine(shape Shape) float64 {
	single := shape
	single.Replicas = 1
	single.Services = 0
	single.Domains = 1
	w := newWorld(single, Scenario{}, 1)
	random := rand.New(rand.NewPCG(1, 3))
	done := 0
	var feed func()
	feed = func() {
		j := drawJob(&single, random, done, w.clock.now)
		for j.kind.service {
			j = drawJob(&single, random, done, w.clock.now)
		}
		j.number = done
		a := &attempt{job: j, onEnd: func(*attempt, ending) {
			done++
			feed()
		}}
		w.engines[0].submit(a)
	}
	for range engineSlots + 1 {
		feed()
	}
	w.clock.runUntil(nominalMeasureTime)
	return float64(done) / nominalMeasureTime.Seconds()
}
