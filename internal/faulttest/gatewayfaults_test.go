package faulttest

import (
	"syscall"
	"time"

	"mangoledge.example/mangoledge/platform/platformtest"
)

// breakProcess has one such fault at a time at one node.
func (s *gatewaySite) breakProcess(st soakStep, n *gatewayNode) {
	n.broken.Lock()
	defer n.broken.Unlock()
	switch st.kind {
	case soakReload:
		n.process.signal(syscall.SIGHUP)
		return
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
	for _, n := range s.nodes {
		n.process.signal(syscall.SIGKILL)
	}
	time.Sleep(pause / 4)
	for _, n := range s.nodes {
		n.process.kill()
		s.launch(n, false)
	}
}

func (s *gatewaySite) breakStore(st soakStep) {
	modes := map[soakKind]platformtest.StoreMode{
		soakStoreSilent: platformtest.StoreSilent, soakStoreBusy: platformtest.StoreBusy,
		soakStoreReset: platformtest.StoreReset, soakStoreLosesAnswers: platformtest.StoreLosesAnswers,
	}
	s.store.SetMode(modes[st.kind])
	time.Sleep(st.long)
	s.store.SetMode(platformtest.StoreSound)
}

func (s *gatewaySite) breakDoor(st soakStep, n *gatewayNode) {
	mode := platformtest.StoreSilent
	if st.kind == soakDoorReset {
		mode = platformtest.StoreReset
	}
	n.door.SetMode(mode)
	time.Sleep(st.long)
	n.door.SetMode(platformtest.StoreSound)
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
	time.Sleep(st.long)
	if err := l.mend(); err != nil {
		s.t.Errorf("%s: %v", l.name, err)
	}
}

// badBehaviours are what a replica does to some of its requests.
var badBehaviours = []platformtest.Behaviour{
	platformtest.Fails, platformtest.Sheds, platformtest.LosesAnswer, platformtest.Hangs,
	platformtest.Truncates, platformtest.Mislabels, platformtest.AnswersTwice, platformtest.Unsigned,
}

func (s *gatewaySite) breakReplica(st soakStep, slot *replicaSlot) {
	slot.broken.Lock()
	defer slot.broken.Unlock()
	switch st.kind {
	case soakReplicaMisbehaves:
		replica, _ := slot.newest()
		bad := badBehaviours[st.target%len(badBehaviours)]
		replica.Behave(bad, platformtest.Answers, bad, bad, platformtest.Answers)
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
	s.store.SetMode(platformtest.StoreSound)
	for _, n := range s.nodes {
		n.door.SetMode(platformtest.StoreSound)
	}
	for _, l := range s.gatewayLinks() {
		if err := l.mend(); err != nil {
			s.t.Errorf("%s: %v", l.name, err)
		}
	}
	for _, slot := range s.slots {
		replica, _ := slot.newest()
		replica.Behave(platformtest.Answers)
	}
}
