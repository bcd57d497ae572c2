package placement

import (
	"sync"
	"time"
)

// heldPlacements are the slots that owners have reserved for this node, by the serials
// of the reservations. It is safe for concurrent use.
type heldPlacements struct {
	mu   sync.Mutex
	held map[uint64]*heldPlacement
}

// heldPlacement is a slot and the time of its last renewal, or of its reservation.
type heldPlacement struct {
	placement *reservedPlacement
	renewedAt time.Time
}

func newHeldPlacements() *heldPlacements {
	return &heldPlacements{held: make(map[uint64]*heldPlacement)}
}

// add stores a slot that was reserved at now.
func (p *heldPlacements) add(now time.Time, placement *reservedPlacement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held[placement.id.Serial] = &heldPlacement{placement: placement, renewedAt: now}
}

// remove deletes slots that were released or that their owner does not know.
func (p *heldPlacements) remove(serials ...uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, serial := range serials {
		delete(p.held, serial)
	}
}

// renewedBefore returns the slots that were last renewed or reserved before a time.
func (p *heldPlacements) renewedBefore(before time.Time) []*reservedPlacement {
	p.mu.Lock()
	defer p.mu.Unlock()
	var found []*reservedPlacement
	for _, h := range p.held {
		if h.renewedAt.Before(before) {
			found = append(found, h.placement)
		}
	}
	return found
}

// markRenewed records that an owner has renewed slots.
func (p *heldPlacements) markRenewed(now time.Time, serials []uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, serial := range serials {
		if h, ok := p.held[serial]; ok {
			h.renewedAt = now
		}
	}
}
