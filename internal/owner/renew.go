package owner

import (
	"container/heap"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

// Renew lets reservations of a holder last for their whole time from now on, and
// returns the serials of those that have ended.
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

// renew lets r last for its whole time from now on; l.mu is held.
func (l *Ledger) renew(now time.Time, r *reservation) {
	r.until = now.Add(r.hold)
	heap.Fix(&l.expiry, r.place)
}
