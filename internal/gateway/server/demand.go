package server

import (
	"maps"
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/gateway/peers"
)

const (
	// demandSlotLength and demandSlotCount define the span over which demand is averaged: long
	// enough to smooth clustered arrivals, short enough to follow a burst.
	demandSlotLength = 500 * time.Millisecond
	demandSlotCount  = 6
)

// demandMeter measures the rate of incoming work for each service. It is safe for concurrent use.
type demandMeter struct {
	now func() time.Time

	mu    sync.Mutex
	slots [demandSlotCount]demandSlotSums
	// firstSeen is when isRateReliable first saw work for a service at any node.
	firstSeen map[string]time.Time
}

// demandSlotSums holds the work that arrived for each service within one slot.
type demandSlotSums struct {
	// number counts the slots since the Unix epoch.
	number int64
	sums   map[string]peers.Demand
}

func newDemandMeter(now func() time.Time) *demandMeter {
	return &demandMeter{now: now, firstSeen: make(map[string]time.Time)}
}

// isRateReliable reports whether work for a service, which arrives at the given rate over all
// nodes, has arrived for a whole averaging span, so that the rate is meaningful.
func (d *demandMeter) isRateReliable(service string, rate float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if rate <= 0 {
		return false
	}
	if _, ok := d.firstSeen[service]; !ok {
		d.firstSeen[service] = d.now()
	}
	return d.now().Sub(d.firstSeen[service]) >= demandSlotCount*demandSlotLength
}

// Arrived adds the work of one request.
func (d *demandMeter) Arrived(service string, prefill, output int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	number := d.now().UnixNano() / int64(demandSlotLength)
	slot := &d.slots[number%demandSlotCount]
	if slot.number != number {
		*slot = demandSlotSums{number: number, sums: make(map[string]peers.Demand)}
	}
	sum := slot.sums[service]
	sum.Prefill += float64(prefill)
	sum.Output += float64(output)
	slot.sums[service] = sum
}

// rates returns the work per second of each service, averaged over the span.
func (d *demandMeter) rates() map[string]peers.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	oldest := d.now().UnixNano()/int64(demandSlotLength) - demandSlotCount
	out := make(map[string]peers.Demand)
	seconds := (demandSlotCount * demandSlotLength).Seconds()
	for i := range d.slots {
		if d.slots[i].number <= oldest {
			continue
		}
		for service, sum := range maps.All(d.slots[i].sums) {
			rate := out[service]
			rate.Prefill += sum.Prefill / seconds
			rate.Output += sum.Output / seconds
			out[service] = rate
		}
	}
	return out
}
