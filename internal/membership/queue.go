package membership

import (
	"cmp"
	"math"
	"slices"

	"mangoledge.example/mangoledge/internal/ident"
)

const (
	// transmitFactor times the decimal logarithm of the number of members is how often a
	// node sends each broadcast.
	transmitFactor = 4
	// minTransmits is the least number of times that a node sends each broadcast.
	minTransmits = 8
)

// broadcastID identifies the subject of a broadcast: an incarnation or a rumour.
type broadcastID struct {
	incarnation ident.Incarnation
	rumour      rumourID
}

// broadcast is an item that is still being disseminated.
type broadcast struct {
	id broadcastID
	// transmits is how often it was sent.
	transmits int
	// order is the position in the sequence of pushes.
	order uint64
	// round is the gossip round that last sent it.
	round uint64
	// withDetails is true when the details of a record must be sent too.
	withDetails bool
	// lowPriority is true for rumours that are sent after all other broadcasts.
	lowPriority bool
}

// broadcastQueue holds the pending broadcasts. A new broadcast replaces the pending one
// with the same ID, so the queue is never longer than the number of records and rumours.
type broadcastQueue struct {
	pending map[broadcastID]*broadcast
	order   uint64
	// round counts the gossip rounds.
	round uint64
}

func newBroadcastQueue() *broadcastQueue {
	return &broadcastQueue{pending: make(map[broadcastID]*broadcast)}
}

// push adds a broadcast, or replaces the pending one with the same ID.
func (q *broadcastQueue) push(id broadcastID, withDetails, lowPriority bool) {
	q.order++
	if old, ok := q.pending[id]; ok {
		withDetails = withDetails || old.withDetails
	}
	q.pending[id] = &broadcast{id: id, order: q.order, withDetails: withDetails, lowPriority: lowPriority}
}

// sorted returns the broadcasts in sending order: low priority last, then the least often
// sent first.
func (q *broadcastQueue) sorted() []*broadcast {
	out := make([]*broadcast, 0, len(q.pending))
	for _, b := range q.pending {
		out = append(out, b)
	}
	slices.SortFunc(out, func(a, b *broadcast) int {
		if a.lowPriority != b.lowPriority {
			if b.lowPriority {
				return -1
			}
			return 1
		}
		if a.transmits != b.transmits {
			return cmp.Compare(a.transmits, b.transmits)
		}
		return cmp.Compare(a.order, b.order)
	})
	return out
}

// markSent counts b as sent to receivers and removes it once it was sent often enough.
func (q *broadcastQueue) markSent(b *broadcast, receivers, members int) {
	b.transmits += receivers
	b.round = q.round
	if b.transmits >= transmitLimit(members) {
		delete(q.pending, b.id)
	}
}

// transmitLimit returns how often each node sends a broadcast in a site with the given
// number of members.
func transmitLimit(members int) int {
	return max(minTransmits, transmitFactor*int(math.Ceil(math.Log10(float64(members+1)))))
}
