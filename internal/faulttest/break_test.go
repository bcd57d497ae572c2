package faulttest

import (
	"net/http"
	"syscall"
	"time"

	"mangoledge.example/mangoledge/internal/historycheck"
	"mangoledge.example/mangoledge/internal/standin/engine"
)

// fault notes that a fault begins and returns its index.
func (s *site) fault(fault historycheck.Fault) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault.At = time.Now()
	fault.Till = fault.At.Add(time.Hour)
	s.faults = append(s.faults, fault)
	return len(s.faults) - 1
}

// over notes that a fault has ended.
func (s *site) over(fault int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[fault].Till = time.Now()
}

// faultOf is a fault of the node's process.
func (n *node) faultOf(kind historycheck.FaultKind) historycheck.Fault {
	return historycheck.Fault{Kind: kind, Target: n.name, Address: n.settings.CallerURL, Node: n.settings.Node}
}

// faultOf is a fault of the stand-in.
func (u *upstream) faultOf(kind historycheck.FaultKind) historycheck.Fault {
	return historycheck.Fault{Kind: kind, Target: u.name, Upstream: u.name}
}

// killNode ends a node without a word.
func (s *site) killNode(n *node) {
	at := s.fault(n.faultOf(historycheck.FaultKill))
	n.process.kill()
	s.over(at)
}

// pauseNode stops a node's process for d.
func (s *site) pauseNode(n *node, d time.Duration) {
	at := s.fault(n.faultOf(historycheck.FaultPause))
	n.process.signal(syscall.SIGSTOP)
	time.Sleep(d)
	n.process.signal(syscall.SIGCONT)
	s.over(at)
}

// stopNode stops a node by plan and reports whether it ended in time.
func (s *site) stopNode(n *node) bool {
	at := s.fault(n.faultOf(historycheck.FaultStop))
	n.process.signal(syscall.SIGTERM)
	ok := n.process.ended(endTimeout)
	s.over(at)
	return ok
}

// reclaimUpstream has the platform give an upstream's host notice, and ends its
// process and its link when the notice has run out.
func (s *site) reclaimUpstream(u *upstream, notice time.Duration) {
	at := s.fault(u.faultOf(historycheck.FaultReclaim))
	s.put(http.MethodPost, "/control/reclaim", reclaimOrder{Host: string(u.host), NoticeMs: notice.Milliseconds()}, nil)
	s.order(u, engine.Faults{ReclaimNoticeMs: notice.Milliseconds()})
	if !u.process.ended(notice + time.Second) {
		u.process.kill()
	}
	u.link.end()
	s.over(at)
}

// reclaimNode has the platform give a node's host notice, and ends its process
// when the notice has run out.
func (s *site) reclaimNode(n *node, notice time.Duration) {
	at := s.fault(n.faultOf(historycheck.FaultReclaim))
	s.put(http.MethodPost, "/control/reclaim", reclaimOrder{Host: string(n.settings.Host), NoticeMs: notice.Milliseconds()}, nil)
	if !n.process.ended(notice) {
		n.process.kill()
	}
	s.over(at)
}
