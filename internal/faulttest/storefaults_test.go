package faulttest

import (
	"net/http"
	"time"

	"mangoledge.example/mangoledge/internal/historycheck"
	"mangoledge.example/mangoledge/internal/standin/platform"
)

// lostAnswerCount is the number of consecutive updates whose answers are lost.
const lostAnswerCount = 3

// storeFault is the fault recorded in the history for a fault of the object store.
var storeFault = historycheck.Fault{Kind: historycheck.FaultStore, Target: "objects"}

// storeOutage makes the object store refuse every call and end every watch for d.
func (s *site) storeOutage(d time.Duration) {
	fault := s.beginFault(storeFault)
	defer s.endFault(fault)
	s.injectStoreFault(platform.Fault{Kind: platform.FaultOutage, DurationMs: d.Milliseconds()})
	time.Sleep(d)
}

// loseAnswers makes the object store lose the answers of its next updates, among them that of
// a change which it makes as an operator.
func (s *site) loseAnswers(st step) {
	fault := s.beginFault(storeFault)
	defer s.endFault(fault)
	s.injectStoreFault(platform.Fault{Kind: platform.FaultLostResponse, Verb: "update", Calls: lostAnswerCount, DurationMs: st.duration.Milliseconds()})
	s.changeAsOperator(st)
}

// injectStoreFault injects a fault into the object store.
func (s *site) injectStoreFault(fault platform.Fault) {
	fault.Service = platform.ServiceObjects
	s.callPlatform(http.MethodPost, "/faults", fault, nil)
}
