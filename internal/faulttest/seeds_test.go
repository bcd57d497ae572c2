package faulttest

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"
)

const (
	// seedsVariable names the environment variable that holds the number of seeds to run; without
	// it fixedSeeds are run.
	seedsVariable = "MANGOLEDGE_SEEDS"
	// fixedSeeds is the number of seeds that are run by default.
	fixedSeeds = 3
	// callerCount is how many callers send at once.
	callerCount = 6
)

// TestSeeds runs callers under a schedule of faults that the seed determines and checks the
// history.
func TestSeeds(t *testing.T) {
	seeds := fixedSeeds
	if text := os.Getenv(seedsVariable); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			t.Fatalf("%s: %v", seedsVariable, err)
		}
		seeds = n
	}
	for seed := uint64(1); seed <= uint64(seeds); seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { runSeed(t, seed) })
	}
}

// runSeed runs one seed on a site of its own.
func runSeed(t *testing.T, seed uint64) {
	s := startSite(t, siteOptions{nodes: 6, services: 3, engines: 6, seed: seed})
	stop := make(chan struct{})
	var calls sync.WaitGroup
	callers := s.newCallers(callerCount)
	for i, c := range callers {
		calls.Go(func() { s.sendUntil(stop, c, i) })
	}
	calls.Go(func() { s.recordVersionsUntil(stop) })
	s.runSchedule(schedule(seed), callers)
	s.restoreLinks()
	close(stop)
	calls.Wait()
	s.recordStoredChanges()
	s.logSummary()
	s.checkHistory()
}

// sendUntil sends dock holds and chat streams, chosen at random, until stop is closed.
func (s *site) sendUntil(stop <-chan struct{}, c *caller, number int) {
	random := rand.New(rand.NewPCG(s.options.seed, uint64(number)))
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		input := fmt.Sprintf("caller %d call %d", number, i)
		if random.IntN(2) == 0 {
			s.send(c, dockHoldSubmission(input), nil)
		} else {
			s.send(c, chatSubmission(input), nil)
		}
	}
}

// logSummary logs the outcomes of the calls and changes and the number of faults.
func (s *site) logSummary() {
	h := s.history()
	complete, unanswered, refused, resent := 0, 0, 0, 0
	for i := range h.Calls {
		resent += h.Calls[i].Restarts
		switch {
		case h.Calls[i].Complete:
			complete++
		case len(h.Calls[i].Refusals) > 0:
			refused++
		default:
			unanswered++
		}
	}
	s.t.Logf("seed %d: %d calls, %d complete, %d refused, %d without an answer, %d resent by a restarted caller, %d faults, %d changes accepted and %d rejected",
		s.options.seed, len(h.Calls), complete, refused, unanswered, resent, len(h.Faults), len(h.Changes), len(h.RejectedChanges))
}

// runSchedule runs the steps at their times and waits until all have ended. Kills of one
// caller run one after the other.
func (s *site) runSchedule(steps []step, callers []*caller) {
	callerLocks := make([]sync.Mutex, len(callers))
	var wg sync.WaitGroup
	for _, st := range steps {
		wg.Go(func() {
			time.Sleep(st.at)
			if st.kind == stepKillCaller {
				i := st.target % len(callers)
				callerLocks[i].Lock()
				defer callerLocks[i].Unlock()
				killAndRestartCaller(st, callers[i])
				return
			}
			s.runStep(st)
		})
	}
	wg.Wait()
}

// runStep runs one step, unless it kills a caller, which runSchedule does.
func (s *site) runStep(st step) {
	switch st.kind {
	case stepDelay, stepCut, stepBlackhole, stepLimitBandwidth:
		s.applyLinkStep(st)
	case stepKill, stepPause, stepStop:
		s.applyNodeStep(st, s.nodes[st.target%len(s.nodes)])
	case stepReclaimEngine:
		s.reclaimIfRunning(s.engines[st.target%(len(s.engines)/2)], st.duration)
	case stepCrashUpstream:
		all := s.upstreams()
		s.crashUpstream(all[st.target%len(all)], st.duration)
	case stepReclaimDomain:
		s.replaceDomain(domainName(st.target), st.duration+minDomainNotice)
	case stepStoreOutage:
		s.storeOutage(st.duration)
	case stepLostAnswer:
		s.loseAnswers(st)
	case stepChange:
		s.changeAsOperator(st)
	case stepKillCaller, stepKindCount:
	}
}

// killAndRestartCaller kills a caller's process and restarts it after the step's duration.
func killAndRestartCaller(st step, c *caller) {
	c.kill()
	time.Sleep(st.duration)
	c.restart()
}

// applyNodeStep kills, pauses or stops a node and, unless it was only paused, restarts it after
// the step's duration. A node has one such fault at a time, so that it can be restarted.
func (s *site) applyNodeStep(st step, n *node) {
	n.faultMu.Lock()
	defer n.faultMu.Unlock()
	switch st.kind {
	case stepKill:
		s.killNode(n)
	case stepPause:
		s.pauseNode(n, st.duration)
		return
	case stepStop:
		s.stopNode(n)
		n.process.kill()
	default:
		return
	}
	time.Sleep(st.duration)
	s.startNode(n)
}

// links returns every link of the site.
func (s *site) links() []*link {
	var out []*link
	for _, n := range s.nodes {
		out = append(out, n.callerLink, n.peerLink)
	}
	for _, u := range s.upstreams() {
		out = append(out, u.link)
	}
	return out
}

// applyLinkStep breaks one link for the step's duration.
func (s *site) applyLinkStep(st step) {
	all := s.links()
	l := all[st.target%len(all)]
	fault := s.beginFault(l.fault)
	var err error
	switch st.kind {
	case stepDelay:
		err = l.delay(200 * time.Millisecond)
	case stepCut:
		l.cut()
	case stepBlackhole:
		err = l.blackhole()
	case stepLimitBandwidth:
		err = l.limitBandwidth(1)
	default:
	}
	if err != nil {
		// The link already has a fault of this kind, or its proxy is stuck.
		s.endFault(fault)
		return
	}
	time.Sleep(st.duration)
	if err := l.restore(); err != nil {
		s.t.Errorf("%s: %v", l.name, err)
	}
	s.endFault(fault)
}

// restoreLinks restores every link of the site.
func (s *site) restoreLinks() {
	for _, l := range s.links() {
		if err := l.restore(); err != nil {
			s.t.Errorf("%s: %v", l.name, err)
		}
	}
}
