package faulttest

import (
	"sync"
	"syscall"
	"time"

	"mangoledge.example/mangoledge/platform/platformtest"
)

// injectProcessFault reloads, pauses, stops or kills a node's process; a node has one such fault
// at a time.
func (s *gatewaySite) injectProcessFault(st soakStep, n *gatewayNode) {
	n.faultMu.Lock()
	defer n.faultMu.Unlock()
	if st.kind == soakReload {
		n.process.signal(syscall.SIGHUP)
		return
	}
	s.whileProcessFault(n, func() { s.pauseOrRestart(st, n) })
}

// pauseOrRestart pauses a node's process and continues it, or ends it and starts it again.
func (s *gatewaySite) pauseOrRestart(st soakStep, n *gatewayNode) {
	switch st.kind {
	case soakPause:
		if err := n.process.suspend(); err != nil {
			s.t.Error(err)
		}
		time.Sleep(st.duration)
		n.process.signal(syscall.SIGCONT)
		return
	case soakStop:
		if !n.stop() {
			s.t.Errorf("%s did not stop within its grace period", n.settings.Name)
		}
	default:
	}
	n.process.kill()
	time.Sleep(st.duration / 4)
	s.launch(n, false)
}

// killAll kills the processes of all nodes at once and starts them again after a quarter of pause.
func (s *gatewaySite) killAll(pause time.Duration) {
	for _, n := range s.nodes {
		n.faultMu.Lock()
		defer n.faultMu.Unlock()
	}
	s.whileProcessFault(nil, func() {
		for _, n := range s.nodes {
			n.process.signal(syscall.SIGKILL)
		}
		time.Sleep(pause / 4)
		for _, n := range s.nodes {
			n.process.kill()
			s.launch(n, false)
		}
	})
}

// killAllRepeatedly calls killAll for the given duration, with a pause after each call.
func (s *gatewaySite) killAllRepeatedly(duration, pause time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(pause) {
		s.killAll(0)
	}
}

// stopNodesInTurn performs a planned stop and restart of each node in turn, while the
// configuration changes and the next node reloads.
func (s *gatewaySite) stopNodesInTurn(st soakStep) {
	var all sync.WaitGroup
	pause := st.duration / time.Duration(len(s.nodes))
	for i := range s.nodes {
		all.Go(func() { s.injectProcessFault(soakStep{kind: soakStop}, s.nodes[i]) })
		time.Sleep(pause / 2)
		s.changeConfig("")
		s.injectProcessFault(soakStep{kind: soakReload}, s.nodes[(i+1)%len(s.nodes)])
		time.Sleep(pause / 2)
	}
	all.Wait()
}

// failReplicas makes all replicas of a service fail, reject or lose seven of ten requests.
func (s *gatewaySite) failReplicas(st soakStep) {
	failure := []platformtest.Behaviour{platformtest.Fails, platformtest.Rejects, platformtest.DropsResponse}[st.target%3]
	first := st.target / 3 % 2 * s.replicasPerService
	service := s.slots[first : first+s.replicasPerService]
	for end := time.Now().Add(st.duration); time.Now().Before(end); time.Sleep(st.duration / 20) {
		setBehaviours(service, failure, platformtest.Responds, failure, failure, failure, platformtest.Responds, failure, failure, failure, platformtest.Responds)
	}
	setBehaviours(service, platformtest.Responds)
}

// sendCrashingContentFor sends crashBody on the route /again/ for the given duration.
func (s *gatewaySite) sendCrashingContentFor(duration time.Duration) {
	stop := make(chan struct{})
	time.AfterFunc(duration, func() { close(stop) })
	s.sendCrashingContent(stop, "/again/")
}

// injectStoreFault makes the store faulty for all nodes.
func (s *gatewaySite) injectStoreFault(st soakStep) {
	modes := map[soakKind]platformtest.StoreMode{
		soakStoreUnresponsive: platformtest.StoreUnresponsive, soakStoreBusy: platformtest.StoreBusy,
		soakStoreResetsConnections: platformtest.StoreResetsConnections, soakStoreLosesWriteResponses: platformtest.StoreLosesWriteResponses,
	}
	s.whileDisturbed(nil, func() {
		s.store.SetMode(modes[st.kind])
		time.Sleep(st.duration)
		s.store.SetMode(platformtest.StoreHealthy)
	})
}

// comeBackFromCopy makes the store come back from a copy as old as the step is long, after it was away
// for a moment. The operator and the replicas write again what is lost.
func (s *gatewaySite) comeBackFromCopy(st soakStep) {
	older := s.store.Copy()
	time.Sleep(st.duration)
	s.whileDisturbed(nil, func() {
		s.store.SetMode(platformtest.StoreBusy)
		time.Sleep(time.Duration(st.target%1000) * time.Millisecond)
		writeAgain := s.store.ComeBackFrom(older)
		s.store.SetMode(platformtest.StoreHealthy)
		time.Sleep(time.Duration(st.target%1700) * time.Millisecond)
		writeAgain()
	})
}

// injectEndpointFault makes the store unavailable to one node.
func (s *gatewaySite) injectEndpointFault(st soakStep, n *gatewayNode) {
	mode := platformtest.StoreUnresponsive
	if st.kind == soakEndpointResetsConnections {
		mode = platformtest.StoreResetsConnections
	}
	s.whileDisturbed(n, func() {
		n.storeEndpoint.SetMode(mode)
		time.Sleep(st.duration)
		n.storeEndpoint.SetMode(platformtest.StoreHealthy)
	})
}

// gatewayLinks returns the links in front of all nodes and of the newest instance of each replica.
func (s *gatewaySite) gatewayLinks() []*link {
	var out []*link
	for _, n := range s.nodes {
		out = append(out, n.frontLink)
	}
	for _, slot := range s.slots {
		_, l := slot.newest()
		out = append(out, l)
	}
	return out
}

// injectLinkFault delays, cuts, silences or slows down one link.
func (s *gatewaySite) injectLinkFault(st soakStep) {
	all := s.gatewayLinks()
	l := all[st.target%len(all)]
	var err error
	switch st.kind {
	case soakLinkDelay:
		err = l.delay(100 * time.Millisecond)
	case soakLinkCut:
		l.cut()
	case soakLinkSilence:
		err = l.blackhole()
	case soakLinkSlow:
		err = l.limitBandwidth(1)
	default:
	}
	if err != nil {
		return // this link has another fault already
	}
	from := time.Now()
	time.Sleep(st.duration)
	if err := l.restore(); err != nil {
		s.t.Errorf("%s: %v", l.name, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.linkFaults = append(s.linkFaults, linkFault{l, from, time.Now()})
}

// misbehaviours are the behaviours of soakReplicaMisbehaves.
var misbehaviours = []platformtest.Behaviour{
	platformtest.Fails, platformtest.Rejects, platformtest.DropsResponse, platformtest.Hangs,
	platformtest.Truncates, platformtest.WrongAttemptID, platformtest.RespondsTwice, platformtest.Unsigned,
}

// injectReplicaFault makes a replica misbehave, drain or restart, or removes or corrupts its store
// entry for a while; a replica has one such fault at a time.
func (s *gatewaySite) injectReplicaFault(st soakStep, slot *replicaSlot) {
	slot.faultMu.Lock()
	defer slot.faultMu.Unlock()
	switch st.kind {
	case soakReplicaMisbehaves:
		replica, _ := slot.newest()
		misbehaviour := misbehaviours[st.target%len(misbehaviours)]
		replica.SetBehaviours(misbehaviour, platformtest.Responds, misbehaviour, misbehaviour, platformtest.Responds)
	case soakReplicaDrains:
		s.register(slot, "draining")
		time.Sleep(st.duration)
		s.register(slot, "ready")
	case soakReplicaRestarts:
		_, l := slot.newest()
		l.cutForGood()
		time.Sleep(st.duration)
		s.startReplica(slot)
	case soakEntryMissing:
		s.store.Remove("servers", slot.id)
		time.Sleep(st.duration)
		s.register(slot, "ready")
	default:
		s.store.Put("servers", slot.id, map[string]any{"service": 3, "addr": slot.id, "state": "asleep"})
		time.Sleep(st.duration)
		s.register(slot, "ready")
	}
}

// endFaults ends the faults of the store, the links and the replicas.
func (s *gatewaySite) endFaults() {
	s.store.SetMode(platformtest.StoreHealthy)
	for _, n := range s.nodes {
		n.storeEndpoint.SetMode(platformtest.StoreHealthy)
	}
	for _, l := range s.gatewayLinks() {
		if err := l.restore(); err != nil {
			s.t.Errorf("%s: %v", l.name, err)
		}
	}
	setBehaviours(s.slots, platformtest.Responds)
	s.endingsEnded.Store(true)
}
