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
	// seedsVariable is how many seeds to run; the tests run fixedSeeds without it.
	seedsVariable = "MANGOLEDGE_SEEDS"
	// fixedSeeds is how many seeds every test run has.
	fixedSeeds = 3
	// callerCount is how many callers send at once.
	callerCount = 6
)

// TestSeeds runs callers under a schedule of faults that the seed decides, and
// judges the history.
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

func runSeed(t *testing.T, seed uint64) {
	s := startSite(t, siteOptions{nodes: 6, services: 3, engines: 6, seed: seed})
	stop := make(chan struct{})
	var calls sync.WaitGroup
	callers := s.newCallers(callerCount)
	for i, c := range callers {
		calls.Go(func() { s.callUntil(stop, c, i) })
	}
	calls.Go(func() { s.watchUntil(stop) })
	s.runSchedule(schedule(seed), callers)
	s.mendAll()
	close(stop)
	calls.Wait()
	s.readStored()
	s.summarise()
	s.check()
}

// callUntil sends requests of both kinds until stop is closed.
func (s *site) callUntil(stop <-chan struct{}, c *caller, number int) {
	random := rand.New(rand.NewPCG(s.options.seed, uint64(number)))
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		input := fmt.Sprintf("caller %d call %d", number, i)
		if random.IntN(2) == 0 {
			s.send(c, holdCall(input), nil)
		} else {
			s.send(c, chatCall(input), nil)
		}
	}
}

func (s *site) summarise() {
	h := s.history()
	whole, lost, refused, returned := 0, 0, 0, 0
	for i := range h.Calls {
		returned += h.Calls[i].Restarts
		switch {
		case h.Calls[i].Complete:
			whole++
		case len(h.Calls[i].Refusals) > 0:
			refused++
		default:
			lost++
		}
	}
	s.t.Logf("seed %d: %d calls, %d whole, %d refused, %d without an answer, %d come back to, %d faults, %d changes accepted and %d not made",
		s.options.seed, len(h.Calls), whole, refused, lost, returned, len(h.Faults), len(h.Changes), len(h.RejectedChanges))
}

// runSchedule makes the faults at their times and waits for the last.
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
				breakCaller(st, callers[i])
				return
			}
			s.runStep(st)
		})
	}
	wg.Wait()
}

func (s *site) runStep(st step) {
	switch st.kind {
	case stepDelay, stepCut, stepSilence, stepDrip:
		s.breakLink(st)
	case stepKill, stepPause, stepStop:
		s.breakNode(st, s.nodes[st.target%len(s.nodes)])
	case stepReclaimEngine:
		s.reclaimOnce(s.engines[st.target%(len(s.engines)/2)], st.long)
	case stepCrashUpstream:
		all := s.upstreams()
		s.crashUpstream(all[st.target%len(all)], st.long)
	case stepReclaimDomain:
		s.replaceDomain(domainName(st.target), st.long+domainNotice)
	case stepStoreOutage:
		s.storeOutage(st.long)
	case stepLostAnswer:
		s.loseAnswers(st)
	case stepChange:
		s.operate(st)
	case stepKillCaller, stepKinds:
	}
}

// breakCaller ends a caller's process and starts it again later.
func breakCaller(st step, c *caller) {
	c.kill()
	time.Sleep(st.long)
	c.restart()
}

// breakNode has one such fault at a time at one node, so that it can be started again.
func (s *site) breakNode(st step, n *node) {
	n.broken.Lock()
	defer n.broken.Unlock()
	switch st.kind {
	case stepKill:
		s.killNode(n)
	case stepPause:
		s.pauseNode(n, st.long)
		return
	case stepStop:
		s.stopNode(n)
		n.process.kill()
	default:
		return
	}
	time.Sleep(st.long)
	s.startNode(n)
}

// links returns every link of the site.
func (s *site) links() []*link {
	var out []*link
	for _, n := range s.nodes {
		out = append(out, n.callers, n.peers)
	}
	for _, u := range s.upstreams() {
		out = append(out, u.link)
	}
	return out
}

func (s *site) breakLink(st step) {
	all := s.links()
	l := all[st.target%len(all)]
	at := s.fault(l.fault)
	var err error
	switch st.kind {
	case stepDelay:
		err = l.delay(200 * time.Millisecond)
	case stepCut:
		l.cut()
	case stepSilence:
		err = l.silence()
	case stepDrip:
		err = l.drip(1)
	default:
	}
	if err != nil {
		// Another fault is at work on this link already.
		s.over(at)
		return
	}
	time.Sleep(st.long)
	if err := l.mend(); err != nil {
		s.t.Errorf("%s: %v", l.name, err)
	}
	s.over(at)
}

// mendAll lets everything pass again.
func (s *site) mendAll() {
	for _, l := range s.links() {
		if err := l.mend(); err != nil {
			s.t.Errorf("%s: %v", l.name, err)
		}
	}
}
