package server

import (
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/gateway/catalog"
)

// neverNoticed is longer than any period that it is compared with.
const neverNoticed = 24 * time.Hour

// reclaimNotices records when a failure domain last began to lose its reclaimable upstreams. It is
// safe for concurrent use.
type reclaimNotices struct {
	now func() time.Time

	mu         sync.Mutex
	lastNotice map[string]time.Time
}

func newReclaimNotices(now func() time.Time) *reclaimNotices {
	return &reclaimNotices{now: now, lastNotice: make(map[string]time.Time)}
}

// record finds the reclaimable upstreams that began to leave between two views without having been
// ordered to.
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
