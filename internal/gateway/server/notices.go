package server

import (
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/gateway/catalog"
)

// neverNoticed is what sinceLast returns if there was no notice. It is longer than any period that
// it is compared with.
const neverNoticed = 24 * time.Hour

// reclaimNotices records when each service last began to lose reclaimable upstreams in each failure
// domain. It is safe for concurrent use.
type reclaimNotices struct {
	now func() time.Time

	mu sync.Mutex
	// lastNotice holds the times by "SERVICE/DOMAIN".
	lastNotice map[string]time.Time
}

func newReclaimNotices(now func() time.Time) *reclaimNotices {
	return &reclaimNotices{now: now, lastNotice: make(map[string]time.Time)}
}

// record records the time if reclaimable upstreams began to leave between two views. Only upstreams
// that state how long they stay count: those were reclaimed, not ordered to leave.
func (n *reclaimNotices) record(before, after *catalog.View) {
	for id, u := range after.All {
		previous, known := before.All[id]
		if known && !previous.Draining && u.Draining && u.Reclaimable && u.LeavesIn > 0 {
			n.mu.Lock()
			n.lastNotice[u.Service+"/"+u.FailureDomain] = n.now()
			n.mu.Unlock()
		}
	}
}

// sinceLast returns how long ago a failure domain last began to lose upstreams of a service.
func (n *reclaimNotices) sinceLast(service, domain string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	at, ok := n.lastNotice[service+"/"+domain]
	if !ok {
		return neverNoticed
	}
	return n.now().Sub(at)
}
