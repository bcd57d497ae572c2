package faulttest

import (
	"net/http"
	"time"

	"mangoledge.example/mangoledge/internal/historycheck"
	"mangoledge.example/mangoledge/internal/standin/platform"
)

// lostAnswers is how many writes in a row lose their answers.
const lostAnswers = 3

// storeFault is what the history says of a fault of the object store.
var storeFault = historycheck.Fault{Kind: historycheck.FaultStore, Target: "objects"}

// storeOutage has the object store refuse every call and end every watch for d.
func (s *site) storeOutage(d time.Duration) {
	at := s.fault(storeFault)
	defer s.over(at)
	s.strike(platform.Fault{Kind: platform.FaultOutage, DurationMs: d.Milliseconds()})
	time.Sleep(d)
}

// loseAnswers has the object store lose the answers of its next updates, those
// of an operator's change among them.
func (s *site) loseAnswers(st step) {
	at := s.fault(storeFault)
	defer s.over(at)
	s.strike(platform.Fault{Kind: platform.FaultLostAnswer, Verb: "update", Calls: lostAnswers, DurationMs: st.long.Milliseconds()})
	s.operate(st)
}

// strike puts a fault of the object store in force.
func (s *site) strike(fault platform.Fault) {
	fault.Service = platform.ServiceObjects
	s.put(http.MethodPost, "/faults", fault, nil)
}
