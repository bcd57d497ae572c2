package faulttest

import (
	"net/http"
	"syscall"
	"time"

	"mangoledge.example/mangoledge/internal/historycheck"
	"mangoledge.example/mangoledge/internal/standin/engine"
)

// beginFault records that a fault begins now and returns its index in s.faults. Its
// end is a time far ahead until endFault is called.
func (s *site) beginFault(fault historycheck.Fault) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault.At = time.Now()
	fault.End = fault.At.Add(time.Hour)
	s.faults = append(s.faults, fault)
	return len(s.faults) - 1
}

// endFault records that the fault with the given index has ended.
func (s *site) endFault(fault int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[fault].End = time.Now()
}

// processFault returns a fault of the node's process.
func (n *node) processFault(kind historycheck.FaultKind) historycheck.Fault {
	return historycheck.Fault{Kind: kind, Target: n.name, Address: n.settings.CallerURL, Node: n.settings.Node}
}

// processFault returns a fault of the stand-in's process.
func (u *upstream) processFault(kind historycheck.FaultKind) historycheck.Fault {
	return historycheck.Fault{Kind: kind, Target: u.name, Upstream: u.name}
}

// killNode ends a node's process with SIGKILL.
func (s *site) killNode(n *node) {
	fault := s.beginFault(n.processFault(historycheck.FaultKill))
	n.process.kill()
	s.endFault(fault)
}

// pauseNode suspends a node's process for d.
func (s *site) pauseNode(n *node, d time.Duration) {
	fault := s.beginFault(n.processFault(historycheck.FaultPause))
	n.process.signal(syscall.SIGSTOP)
	time.Sleep(d)
	n.process.signal(syscall.SIGCONT)
	s.endFault(fault)
}

// stopNode stops a node by plan and reports whether its process ended within endTimeout.
func (s *site) stopNode(n *node) bool {
	fault := s.beginFault(n.processFault(historycheck.FaultStop))
	n.process.signal(syscall.SIGTERM)
	ok := n.process.waitEnd(endTimeout)
	s.endFault(fault)
	return ok
}

// reclaimUpstream has the platform and the stand-in announce the reclaim of an upstream's
// host. When the notice has expired, it kills the process if it still runs and cuts the link.
func (s *site) reclaimUpstream(u *upstream, notice time.Duration) {
	fault := s.beginFault(u.processFault(historycheck.FaultReclaim))
	s.callPlatform(http.MethodPost, "/control/reclaim", reclaimOrder{Host: string(u.host), NoticeMs: notice.Milliseconds()}, nil)
	s.injectStandinFaults(u, engine.Faults{ReclaimNoticeMs: notice.Milliseconds()})
	if !u.process.waitEnd(notice + time.Second) {
		u.process.kill()
	}
	u.link.cutForGood()
	s.endFault(fault)
}

// reclaimNode has the platform announce the reclaim of a node's host, and kills the
// process if it still runs when the notice has expired.
func (s *site) reclaimNode(n *node, notice time.Duration) {
	fault := s.beginFault(n.processFault(historycheck.FaultReclaim))
	s.callPlatform(http.MethodPost, "/control/reclaim", reclaimOrder{Host: string(n.settings.Host), NoticeMs: notice.Milliseconds()}, nil)
	if !n.process.waitEnd(notice) {
		n.process.kill()
	}
	s.endFault(fault)
}

// minDomainNotice is the shortest notice of a reclaim of a whole failure domain.
const minDomainNotice = 2 * time.Second

// upstreams returns all engines and services.
func (s *site) upstreams() []*upstream {
	return append(append([]*upstream{}, s.engines...), s.services...)
}

// reclaimIfRunning reclaims an upstream unless it was reclaimed before.
func (s *site) reclaimIfRunning(u *upstream, notice time.Duration) {
	u.faultMu.Lock()
	defer u.faultMu.Unlock()
	if !u.link.removed.Load() {
		s.reclaimUpstream(u, notice)
	}
}

// crashUpstream ends an upstream's process with SIGKILL and restarts it after d, unless the
// upstream was reclaimed.
func (s *site) crashUpstream(u *upstream, d time.Duration) {
	u.faultMu.Lock()
	defer u.faultMu.Unlock()
	if u.link.removed.Load() {
		return
	}
	fault := s.beginFault(u.processFault(historycheck.FaultKill))
	u.process.kill()
	s.endFault(fault)
	time.Sleep(d)
	u.role.Engine.Seed += restartSeedStep // its tokens belong to another generation
	u.process = s.startRole(u.name, u.role)
}

// replaceDomain reclaims every host of a failure domain at once and restarts its
// nodes on new hosts.
func (s *site) replaceDomain(domain string, notice time.Duration) {
	s.forEachInDomain(domain,
		func(u *upstream) { s.reclaimIfRunning(u, notice) },
		func(n *node) { s.replaceNode(n, notice) })
}

// replaceNode reclaims the host of a node and restarts the node on a new host.
func (s *site) replaceNode(n *node, notice time.Duration) {
	n.faultMu.Lock()
	defer n.faultMu.Unlock()
	s.reclaimNode(n, notice)
	n.settings.Host = s.newHost(n.name+" anew", domainName(n.number))
	s.startNode(n)
}
