package placement

import (
	"sync"
	"time"
)

// places are the slots at owners that this node holds, by the serials of their
// reservations. It is safe for concurrent use.
type places struct {
	mu   sync.Mutex
	held map[uint64]*heldPlace
}

// heldPlace is a slot and when its owner last heard of it.
type heldPlace struct {
	place   *placed
	renewed time.Time
}

func newPlaces() *places {
	return &places{held: make(map[uint64]*heldPlace)}
}

// add notes a slot that was reserved now.
func (p *places) add(now time.Time, place *placed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held[place.id.Serial] = &heldPlace{place: place, renewed: now}
}

// remove forgets slots that were given back or that their owner does not know.
func (p *places) remove(serials ...uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, serial := range serials {
		delete(p.held, serial)
	}
}

// due returns the slots that their owners last heard of before a time.
func (p *places) due(before time.Time) []*placed {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*placed
	for _, h := range p.held {
		if h.renewed.Before(before) {
			out = append(out, h.place)
		}
	}
	return out
}

// renewed notes that an owner has renewed slots.
func (p *places) renewed(now time.Time, serials []uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, serial := range serials {
		if h, ok := p.held[serial]; ok {
			h.renewed = now
		}
	}
}
