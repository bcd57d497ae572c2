package owner

import (
	"container/heap"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

// Renew restarts the lifetime of reservations of a holder and returns the serials
// of those that have already ended.
func (l *Ledger) Renew(now time.Time, holder ident.IncarnationHash, serials []uint64) []uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	var unknown []uint64
	for _, serial := range serials {
		r, ok := l.held[ReservationID{Holder: holder, Serial: serial}]
		if !ok {
			unknown = append(unknown, serial)
			continue
		}
		l.renew(now, r)
	}
	return unknown
}

// renew restarts the lifetime of r; l.mu is held.
func (l *Ledger) renew(now time.Time, r *reservation) {
	r.expiresAt = now.Add(r.ttl)
	heap.Fix(&l.expiry, r.heapIndex)
}
