package faulttest

import (
	"sync"
	"syscall"
	"time"

	"mangoledge.example/mangoledge/platform/platformtest"
)

// breakProcess has one such fault at a time at one node.
func (s *gatewaySite) breakProcess(st soakStep, n *gatewayNode) {
	n.broken.Lock()
	defer n.broken.Unlock()
	if st.kind == soakReload {
		n.process.signal(syscall.SIGHUP)
		return
	}
	s.disturbProcess(n, func() { s.breakRunning(st, n) })
}

// breakRunning pauses, stops or kills a process.
func (s *gatewaySite) breakRunning(st soakStep, n *gatewayNode) {
	switch st.kind {
	case soakPause:
		if err := n.process.stop(); err != nil {
			s.t.Error(err)
		}
		time.Sleep(st.long)
		n.process.signal(syscall.SIGCONT)
		return
	case soakStop:
		if !n.stop() {
			s.t.Errorf("%s did not end in its grace", n.settings.Name)
		}
	default:
	}
	n.process.kill()
	time.Sleep(st.long / 4)
	s.launch(n, false)
}

// killAll kills all processes at the same moment.
func (s *gatewaySite) killAll(pause time.Duration) {
	for _, n := range s.nodes {
		n.broken.Lock()
		defer n.broken.Unlock()
	}
	s.disturbProcess(nil, func() {
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

// killSeries kills all processes at once, again and again.
func (s *gatewaySite) killSeries(long, pause time.Duration) {
	for end := time.Now().Add(long); time.Now().Before(end); time.Sleep(pause) {
		s.killAll(0)
	}
}

// stopSeries stops the nodes in turn by plan, while the next one reloads and the
// configuration changes.
func (s *gatewaySite) stopSeries(st soakStep) {
	var all sync.WaitGroup
	pause := st.long / time.Duration(len(s.nodes))
	for i := range s.nodes {
		all.Go(func() { s.breakProcess(soakStep{kind: soakStop}, s.nodes[i]) })
		time.Sleep(pause / 2)
		s.changeConfig("")
		s.breakProcess(soakStep{kind: soakReload}, s.nodes[(i+1)%len(s.nodes)])
		time.Sleep(pause / 2)
	}
	all.Wait()
}

// failReplicas makes all replicas of a service fail, shed or lose seven of ten requests.
func (s *gatewaySite) failReplicas(st soakStep) {
	bad := []platformtest.Behaviour{platformtest.Fails, platformtest.Rejects, platformtest.DropsResponse}[st.target%3]
	first := st.target / 3 % 2 * s.replicas
	service := s.slots[first : first+s.replicas]
	for end := time.Now().Add(st.long); time.Now().Before(end); time.Sleep(st.long / 20) {
		behave(service, bad, platformtest.Responds, bad, bad, bad, platformtest.Responds, bad, bad, bad, platformtest.Responds)
	}
	behave(service, platformtest.Responds)
}

// sendFatalFor sends the fatal content for a time.
func (s *gatewaySite) sendFatalFor(long time.Duration) {
	stop := make(chan struct{})
	time.AfterFunc(long, func() { close(stop) })
	s.sendFatal(stop, "/again/")
}

func (s *gatewaySite) breakStore(st soakStep) {
	modes := map[soakKind]platformtest.StoreMode{
		soakStoreSilent: platformtest.StoreUnresponsive, soakStoreBusy: platformtest.StoreBusy,
		soakStoreReset: platformtest.StoreResetsConnections, soakStoreLosesAnswers: platformtest.StoreLosesWriteResponses,
	}
	s.disturb(nil, func() {
		s.store.SetMode(modes[st.kind])
		time.Sleep(st.long)
		s.store.SetMode(platformtest.StoreHealthy)
	})
}

func (s *gatewaySite) breakDoor(st soakStep, n *gatewayNode) {
	mode := platformtest.StoreUnresponsive
	if st.kind == soakDoorReset {
		mode = platformtest.StoreResetsConnections
	}
	s.disturb(n, func() {
		n.door.SetMode(mode)
		time.Sleep(st.long)
		n.door.SetMode(platformtest.StoreHealthy)
	})
}

// gatewayLinks returns the links of all front doors and of the replicas' newest starts.
func (s *gatewaySite) gatewayLinks() []*link {
	var out []*link
	for _, n := range s.nodes {
		out = append(out, n.front)
	}
	for _, slot := range s.slots {
		_, l := slot.newest()
		out = append(out, l)
	}
	return out
}

func (s *gatewaySite) breakGatewayLink(st soakStep) {
	all := s.gatewayLinks()
	l := all[st.target%len(all)]
	var err error
	switch st.kind {
	case soakDelay:
		err = l.delay(100 * time.Millisecond)
	case soakCut:
		l.cut()
	case soakSilence:
		err = l.silence()
	case soakDrip:
		err = l.drip(1)
	default:
	}
	if err != nil {
		return // another fault is at work on this link already
	}
	from := time.Now()
	time.Sleep(st.long)
	if err := l.mend(); err != nil {
		s.t.Errorf("%s: %v", l.name, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.linkTroubles = append(s.linkTroubles, linkTrouble{l, from, time.Now()})
}

// badBehaviours are what a replica does to some of its requests.
var badBehaviours = []platformtest.Behaviour{
	platformtest.Fails, platformtest.Rejects, platformtest.DropsResponse, platformtest.Hangs,
	platformtest.Truncates, platformtest.WrongAttemptID, platformtest.RespondsTwice, platformtest.Unsigned,
}

func (s *gatewaySite) breakReplica(st soakStep, slot *replicaSlot) {
	slot.broken.Lock()
	defer slot.broken.Unlock()
	switch st.kind {
	case soakReplicaMisbehaves:
		replica, _ := slot.newest()
		bad := badBehaviours[st.target%len(badBehaviours)]
		replica.SetBehaviours(bad, platformtest.Responds, bad, bad, platformtest.Responds)
	case soakReplicaLeaves:
		s.register(slot, "draining")
		time.Sleep(st.long)
		s.register(slot, "ready")
	case soakReplicaRestarts:
		_, l := slot.newest()
		l.end()
		time.Sleep(st.long)
		s.startReplica(slot)
	case soakEntryMissing:
		s.store.Remove("servers", slot.id)
		time.Sleep(st.long)
		s.register(slot, "ready")
	default:
		s.store.Put("servers", slot.id, map[string]any{"service": 3, "addr": slot.id, "state": "asleep"})
		time.Sleep(st.long)
		s.register(slot, "ready")
	}
}

// mend ends every fault.
func (s *gatewaySite) mend() {
	s.store.SetMode(platformtest.StoreHealthy)
	for _, n := range s.nodes {
		n.door.SetMode(platformtest.StoreHealthy)
	}
	for _, l := range s.gatewayLinks() {
		if err := l.mend(); err != nil {
			s.t.Errorf("%s: %v", l.name, err)
		}
	}
	behave(s.slots, platformtest.Responds)
}
