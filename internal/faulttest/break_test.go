package faulttest

import (
	"net/http"
	"syscall"
	"time"

	"mangoledge.example/mangoledge/internal/historycheck"
	"mangoledge.example/mangoledge/internal/standin/engine"
)

// fault notes a fault and returns its index.
func (s *site) fault(kind historycheck.FaultKind, target, address string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, historycheck.Fault{Kind: kind, Target: target, Address: address, At: time.Now(), Till: time.Now().Add(time.Hour)})
	return len(s.faults) - 1
}

// over notes that a fault has ended; its effects may last a little longer.
func (s *site) over(fault int, after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[fault].Till = time.Now().Add(after)
}

// settle is how long an unannounced fault may still be felt after its end.
const settle = 10 * time.Second

// killNode ends a node without a word.
func (s *site) killNode(n *node) {
	at := s.fault(historycheck.FaultKill, n.name, n.settings.CallerURL)
	n.process.kill()
	s.over(at, settle)
}

// pauseNode stops a node's process for d.
func (s *site) pauseNode(n *node, d time.Duration) {
	at := s.fault(historycheck.FaultPause, n.name, n.settings.CallerURL)
	n.process.signal(syscall.SIGSTOP)
	time.Sleep(d)
	n.process.signal(syscall.SIGCONT)
	s.over(at, settle)
}

// stopNode stops a node by plan and reports whether it ended in time.
func (s *site) stopNode(n *node) bool {
	at := s.fault(historycheck.FaultStop, n.name, n.settings.CallerURL)
	n.process.signal(syscall.SIGTERM)
	ok := n.process.ended(endTimeout)
	s.over(at, 0)
	return ok
}

// reclaimUpstream has the platform give an upstream's host notice, and ends its
// process and its link when the notice has run out.
func (s *site) reclaimUpstream(u *upstream, notice time.Duration) {
	at := s.fault(historycheck.FaultReclaim, u.name, "")
	s.put(http.MethodPost, "/control/reclaim", reclaimOrder{Host: string(u.host), NoticeMs: notice.Milliseconds()}, nil)
	s.order(u, engine.Faults{ReclaimNoticeMs: notice.Milliseconds()})
	if !u.process.ended(notice + time.Second) {
		u.process.kill()
	}
	u.link.end()
	s.over(at, 0)
}

// reclaimNode has the platform give a node's host notice, and ends its process
// when the notice has run out.
func (s *site) reclaimNode(n *node, notice time.Duration) {
	at := s.fault(historycheck.FaultReclaim, n.name, n.settings.CallerURL)
	s.put(http.MethodPost, "/control/reclaim", reclaimOrder{Host: string(n.settings.Host), NoticeMs: notice.Milliseconds()}, nil)
	if !n.process.ended(notice) {
		n.process.kill()
	}
	s.over(at, 0)
}
