package faulttest

import (
	"sync"
	"testing"
	"time"

	"mangoledge.example/mangoledge/platform/platformtest"
)

const (
	// retryAfterGrace is how long requests from a node may still arrive after a replica sent it
	// a Retry-After, and maxDuringRetryAfter how many may arrive later than that.
	retryAfterGrace     = 500 * time.Millisecond
	maxDuringRetryAfter = 2
)

// noticeGrace returns how long a node may take to obey a Retry-After. It is undisturbedTime in
// runs that do not check time bounds, such as in CI: the platform takes that long to regard a
// node as in contact.
func noticeGrace() time.Duration {
	if checksTimeBounds() {
		return retryAfterGrace
	}
	return undisturbedTime
}

// leavingBound returns the time after which a replica that announced leaving gets no requests.
func leavingBound() time.Duration {
	if checksTimeBounds() {
		return drainBound
	}
	return drainBound + undisturbedTime
}

// linkFault is a period in which a link had a fault.
type linkFault struct {
	link     *link
	from, to time.Time
}

// announceLeaving makes a replica announce only in its responses that it is leaving, and restarts
// it drainBound and extraTime later.
func (s *gatewaySite) announceLeaving(slot *replicaSlot, extraTime time.Duration) {
	slot.faultMu.Lock()
	defer slot.faultMu.Unlock()
	replica, l := slot.newest()
	replica.AnnounceLeaving()
	time.Sleep(drainBound + extraTime)
	l.cutForGood()
	s.startReplica(slot)
}

// rejectInTurn makes the replicas of a service reject requests with a Retry-After in turn, one or
// two at a time.
func (s *gatewaySite) rejectInTurn(st soakStep) {
	first := st.target / 3 % 2 * s.replicasPerService
	service := s.slots[first : first+s.replicasPerService]
	for i := range service {
		one, _ := service[(st.target+i)%s.replicasPerService].newest()
		one.RejectFor(st.duration / 2)
		if st.target%2 == 0 {
			two, _ := service[(st.target+i+1)%s.replicasPerService].newest()
			two.RejectFor(st.duration / 2)
		}
		time.Sleep(st.duration / 2)
	}
}

// attemptArrival is the arrival of an attempt at a replica.
type attemptArrival struct {
	at      time.Time
	attempt *gatewayAttempt
}

// checkNotices checks that nodes obey what replicas state in responses. A node sends no request to
// a leaving replica that a caller sent later than leavingBound after the notice, and at most
// maxDuringRetryAfter requests in the Retry-After time. Only the node that received the notice is
// checked, and not after its process was restarted or paused or if the replica's link had a fault.
func (s *gatewaySite) checkNotices(sent map[string]*gatewayAttempt) {
	s.t.Helper()
	notices := 0
	for _, slot := range s.slots {
		for i, replica := range slot.allReplicas() {
			slot.mu.Lock()
			l := slot.links[i]
			slot.mu.Unlock()
			byNode := make(map[string][]attemptArrival)
			for _, arrival := range replica.Arrivals() {
				if a := sent[arrival.AttemptID]; a != nil {
					byNode[a.node] = append(byNode[a.node], attemptArrival{arrival.At, a})
				}
			}
			for _, notice := range replica.Notices() {
				if a := sent[notice.AttemptID]; a != nil {
					notices++
					s.checkNotice(slot, l, a.node, notice, byNode[a.node])
				}
			}
		}
	}
	s.t.Logf("replicas sent %d notices", notices)
}

// checkNotice checks that a node obeyed one notice; arrivals are the node's requests to the replica.
func (s *gatewaySite) checkNotice(slot *replicaSlot, l *link, node string, notice platformtest.Notice, arrivals []attemptArrival) {
	s.t.Helper()
	late := 0
	var last *gatewayAttempt
	for _, arrival := range arrivals {
		violates := notice.Leaving && arrival.attempt.sentAt.After(notice.At.Add(leavingBound())) ||
			notice.RetryAfter > 0 && arrival.at.After(notice.At.Add(noticeGrace())) && arrival.at.Before(notice.At.Add(notice.RetryAfter))
		if violates && !s.wasDisturbed(node, l, notice.At, arrival.at) {
			late++
			last = arrival.attempt
		}
	}
	if notice.Leaving && late > 0 || late > maxDuringRetryAfter {
		s.t.Errorf("%s notified %s at %s in %s (leaving %v, Retry-After %s) and got %d requests from it too late; the last is %s\n%s",
			slot.id, node, notice.At.Format(time.StampMilli), notice.AttemptID, notice.Leaving, notice.RetryAfter, late, last.id, s.logLinesOf(last.id))
	}
}

// wasDisturbed reports whether a node's process was restarted or paused between from and to, or a
// replica's link had a fault between undisturbedTime before from and to.
func (s *gatewaySite) wasDisturbed(node string, l *link, from, to time.Time) bool {
	for _, d := range s.disturbances {
		if d.processFault && (d.node == nil || d.node.settings.Name == node) && d.from.Before(to) && d.to.After(from) {
			return true
		}
	}
	for _, fault := range s.linkFaults {
		if fault.link == l && fault.from.Before(to) && fault.to.After(from.Add(-undisturbedTime)) {
			return true
		}
	}
	return false
}

func TestLeavingAndRetryAfterInResponsesAreObeyed(t *testing.T) {
	t.Parallel() // a site waits for most of its time
	s := startGatewaySite(t, gatewayNodes, gatewayReplicas)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range soakCallers {
		callers.Go(func() { s.newCaller(20, uint64(i)).run(stop) })
	}
	var faults sync.WaitGroup
	// Each Retry-After lasts longer than noticeGrace in runs that do not check time bounds.
	faults.Go(func() { s.rejectInTurn(soakStep{target: 2, duration: 4 * undisturbedTime}) })
	faults.Go(func() { s.announceLeaving(s.slots[s.replicasPerService], 2*undisturbedTime) })
	faults.Go(func() {
		time.Sleep(undisturbedTime)
		s.injectStoreFault(soakStep{kind: soakStoreUnresponsive, duration: undisturbedTime})
		s.injectProcessFault(soakStep{kind: soakKill}, s.nodes[0])
		s.announceLeaving(s.slots[s.replicasPerService+1], 2*undisturbedTime)
	})
	faults.Wait()
	close(stop)
	callers.Wait()
	s.stopReplicaRestarts()
	s.check()
}
