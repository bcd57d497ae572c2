package faulttest

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"mangoledge.example/mangoledge/internal/standin/ending"
	"mangoledge.example/mangoledge/platform/platformtest"
)

const (
	// endingReplicas is the number of replicas of each service whose responses end in every way, and
	// directCallers the number of callers that see how.
	endingReplicas = 2
	directCallers  = 8
	// confirmTime is how long a node may take to find out whether a replica outlived a response.
	confirmTime = 500 * time.Millisecond
	// routeTimeout is the timeout of the routes.
	routeTimeout = 2 * time.Second
)

// endingShares are the shares in which their endings are drawn.
var endingShares = ending.Settings{DrawnPercent: 70, CutPercent: 25, ResetPercent: 25, OpenPercent: 5, ProcessEndPercent: 5}

// oddShares are the same with statuses that are none and answers to bodies that were not read.
var oddShares = ending.Settings{DrawnPercent: 70, CutPercent: 25, ResetPercent: 25, OpenPercent: 5, ProcessEndPercent: 5, OddStatusPercent: 10, EarlyPercent: 70}

// longUpload is the body of requests that may be answered before it is read.
var longUpload = strings.Repeat("u", ending.LongBodyBytes)

// hasOddAnswers reports whether a seed has statuses that are none and early answers.
func hasOddAnswers(seed uint64) bool {
	return regressionSeeds[seed] == "" && (seed <= fixedSeeds || seed >= firstSeedWithOddAnswers)
}

// startEndingReplicas starts replicas whose responses to direct callers end as drawn by the seed.
func (s *gatewaySite) startEndingReplicas(seed uint64) {
	for i := range 2 * endingReplicas {
		service := []string{"plain", "engine"}[i%2]
		slot := &replicaSlot{id: fmt.Sprintf("i-ending-%s-%d", service, i), service: service}
		s.endingSlots = append(s.endingSlots, slot)
		drawn := endingShares
		if hasOddAnswers(seed) {
			drawn = oddShares
		}
		drawn.Seed = int64(seed)<<8 + int64(i)
		drawer := ending.NewDrawer(drawn)
		s.startEndingReplica(slot, func(req *http.Request, early bool) (ending.Ending, bool) {
			switch {
			case req.Header.Get("X-Mangoledge-Tenant") != unlimitedWorkspace || s.endingsEnded.Load():
				return ending.Ending{}, false
			case early:
				return drawer.NextEarly()
			}
			return drawer.Next(platformtest.IsStream(req))
		})
	}
}

// startEndingReplica starts a replica, and again a short time after each end of its process.
func (s *gatewaySite) startEndingReplica(slot *replicaSlot, next func(req *http.Request, early bool) (ending.Ending, bool)) {
	replica := platformtest.NewReplica(s.t, slot.id)
	replica.Events = streamEvents
	replica.NextEnding = func(req *http.Request) (ending.Ending, bool) { return next(req, false) }
	replica.NextEarly = func(req *http.Request) (ending.Ending, bool) { return next(req, true) }
	replica.OnCrash = func() {
		time.Sleep(700 * time.Millisecond)
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.restartsStopped {
			s.startEndingReplica(slot, next)
		}
	}
	slot.mu.Lock()
	slot.starts = append(slot.starts, replica)
	born := 1_700_000_000_000 + len(slot.starts)
	slot.mu.Unlock()
	s.store.Put("servers", slot.id, replica.Entry(slot.service, func(e map[string]any) { e["born"], e["slots"] = born, 16 }))
}

// newDirectCaller returns a caller that connects to the nodes without a link.
func (s *gatewaySite) newDirectCaller(seed, number uint64) *gatewayCaller {
	c := s.newCaller(seed, number+soakCallers)
	c.direct = true
	c.longUploads = hasOddAnswers(seed)
	return c
}

// slowReader reads a few bytes at a time, with a pause after each read.
type slowReader struct{ io.Reader }

func (r slowReader) Read(data []byte) (int, error) {
	time.Sleep(2 * time.Millisecond)
	return r.Reader.Read(data[:min(len(data), 4<<10)])
}

// written returns the response that the replica wrote in this run, if it drew how it ends.
func (r replicaRun) written() (platformtest.Written, bool) {
	for _, w := range r.from.Written() {
		if w.AttemptID == r.AttemptID {
			return w, true
		}
	}
	return platformtest.Written{}, false
}

// checkEndings checks that no broken response of a replica is complete for its caller, that none is
// framed by the node, and that no whole response of a replica that lives is broken off.
func (s *gatewaySite) checkEndings(runs map[string][]replicaRun) {
	s.t.Helper()
	counts := make(map[string]int)
	for _, a := range s.attempts {
		attemptRuns := runs[a.id]
		if len(attemptRuns) == 0 {
			continue
		}
		last := slices.MaxFunc(attemptRuns, func(a, b replicaRun) int { return a.At.Compare(b.At) })
		w, found := last.written()
		if !found || a.leftEarly || !a.done {
			continue
		}
		counts[fmt.Sprintf("whole %t, broken %t, complete %t", w.Whole, w.Broken, a.complete())]++
		switch {
		case a.complete() && w.Broken && a.signature == "sig-"+last.slot+"-"+a.id:
			s.t.Errorf("%s on %s is complete for its caller and was broken off: %+v\n%s", a.id, a.route, w.Ending, s.logLinesOf(a.id))
		case a.complete() && a.framed && w.Ending.Framing == ending.Unframed && len(attemptRuns) == 1:
			s.t.Errorf("%s on %s has a framing that its replica did not give: %+v\n%s", a.id, a.route, w.Ending, s.logLinesOf(a.id))
		case !a.complete() && s.mustBeDelivered(a, attemptRuns, w):
			s.t.Errorf("%s on %s is whole and its caller got status %d, %v: %+v\n%s", a.id, a.route, a.status, a.err, w.Ending, s.logLinesOf(a.id))
		}
	}
	s.t.Logf("responses that end as drawn: %v", counts)
}

// mustBeDelivered reports whether nothing excuses that a whole response did not reach its caller: its
// connection was not reset, it was the only run, the replica lived on, there was time, and the node
// was undisturbed.
func (s *gatewaySite) mustBeDelivered(a *gatewayAttempt, runs []replicaRun, w platformtest.Written) bool {
	endedAt := runs[0].from.EndedAt()
	return w.Whole && w.Ending.Close != ending.ByReset && len(runs) == 1 &&
		(endedAt.IsZero() || endedAt.After(w.At.Add(confirmTime))) &&
		w.At.Before(a.sentAt.Add(routeTimeout-confirmTime)) && !s.wasDisturbed(a.node, nil, a.sentAt, a.doneAt)
}
