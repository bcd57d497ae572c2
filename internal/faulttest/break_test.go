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
	fault.End = fault.At.Add(time.Hour)
	s.faults = append(s.faults, fault)
	return len(s.faults) - 1
}

// over notes that a fault has ended.
func (s *site) over(fault int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[fault].End = time.Now()
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

// domainNotice is the least notice that a whole failure domain gets.
const domainNotice = 2 * time.Second

// upstreams returns all engines and services.
func (s *site) upstreams() []*upstream {
	return append(append([]*upstream{}, s.engines...), s.services...)
}

// reclaimOnce reclaims an upstream that is still there.
func (s *site) reclaimOnce(u *upstream, notice time.Duration) {
	u.broken.Lock()
	defer u.broken.Unlock()
	if !u.link.ended.Load() {
		s.reclaimUpstream(u, notice)
	}
}

// crashUpstream ends an upstream without a word and starts it again after d.
func (s *site) crashUpstream(u *upstream, d time.Duration) {
	u.broken.Lock()
	defer u.broken.Unlock()
	if u.link.ended.Load() {
		return
	}
	at := s.fault(u.faultOf(historycheck.FaultKill))
	u.process.kill()
	s.over(at)
	time.Sleep(d)
	u.role.Engine.Seed += seedStep // its tokens are of another generation
	u.process = s.startRole(u.name, u.role)
}

// replaceDomain reclaims every host of a failure domain at once, and then starts
// its nodes on other hosts.
func (s *site) replaceDomain(domain string, notice time.Duration) {
	s.inDomain(domain,
		func(u *upstream) { s.reclaimOnce(u, notice) },
		func(n *node) { s.replaceNode(n, notice) })
}

// replaceNode reclaims the host of a node and starts the node on another.
func (s *site) replaceNode(n *node, notice time.Duration) {
	n.broken.Lock()
	defer n.broken.Unlock()
	s.reclaimNode(n, notice)
	n.settings.Host = s.newHost(n.name+" anew", domainName(n.number))
	s.startNode(n)
}
