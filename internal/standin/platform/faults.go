package platform

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Service is one of the platform's services.
type Service string

// The services.
const (
	ServiceObjects  Service = "objects"
	ServiceCloud    Service = "cloud"
	ServiceHostList Service = "hostlist"
	ServiceWeights  Service = "weights"
)

// FaultKind is a kind of fault of a service.
type FaultKind string

// The kinds of faults.
const (
	// FaultOutage makes calls fail with 503 and without effect, and aborts watches.
	FaultOutage FaultKind = "outage"
	// FaultHang makes calls hang without effect, and makes watches send nothing more.
	FaultHang FaultKind = "hang"
	// FaultSlow delays calls by DelayMs.
	FaultSlow FaultKind = "slow"
	// FaultLostResponse lets calls take effect and then aborts the connection without a response.
	FaultLostResponse FaultKind = "lost_answer"
	// FaultStaleRead makes reads return the state of VersionsBehind versions ago.
	FaultStaleRead FaultKind = "stale_read"
	// FaultDropWatch aborts a watch. A watch checks for it when it opens, when a fault is added
	// or cleared, and at each event or bookmark.
	FaultDropWatch FaultKind = "drop_watch"
	// FaultSilentWatch makes a watch send nothing more, for good.
	FaultSilentWatch FaultKind = "silent_watch"
	// FaultCompact drops all events recorded so far, once, when it is added.
	FaultCompact FaultKind = "compact"
	// FaultRefuseStarts makes the cloud refuse to start hosts of FailureDomain, HostClass and Market; empty means any.
	FaultRefuseStarts FaultKind = "refuse_starts"
)

// Fault is one fault that a test puts in force.
type Fault struct {
	Service Service   `json:"service"`
	Kind    FaultKind `json:"kind"`
	// Verb limits the fault to one verb, such as "update"; empty means any.
	Verb string `json:"verb,omitempty"`
	// Calls is the number of calls that the fault affects; 0 means no limit.
	Calls int `json:"calls,omitempty"`
	// DurationMs is how long the fault lasts in milliseconds; 0 means until it is cleared.
	DurationMs int64 `json:"durationMs,omitempty"`
	// Probability is the share of calls that the fault affects; 0 means all.
	Probability float64 `json:"probability,omitempty"`
	// DelayMs is the delay of FaultSlow in milliseconds.
	DelayMs int64 `json:"delayMs,omitempty"`
	// VersionsBehind is the age of the reads of FaultStaleRead, in versions.
	VersionsBehind uint64 `json:"behind,omitempty"`
	// FailureDomain, HostClass and Market are for FaultRefuseStarts.
	FailureDomain string `json:"failureDomain,omitempty"`
	HostClass     string `json:"hostClass,omitempty"`
	Market        Market `json:"market,omitempty"`
}

// activeFault is a fault in force.
type activeFault struct {
	Fault
	expiry    time.Time
	callsLeft int
}

// faultTable holds the faults in force. It is safe for concurrent use.
type faultTable struct {
	mu      sync.Mutex
	random  *rand.Rand
	active  []*activeFault
	changed chan struct{}
}

// newFaultTable returns an empty table; seed decides which calls a fault with a Probability affects.
func newFaultTable(seed uint64) *faultTable {
	return &faultTable{random: rand.New(rand.NewPCG(seed, seed)), changed: make(chan struct{})} //nolint:gosec // seeded on purpose
}

// add puts a fault in force.
func (t *faultTable) add(fault Fault) {
	active := &activeFault{Fault: fault, callsLeft: fault.Calls}
	if fault.DurationMs > 0 {
		active.expiry = time.Now().Add(time.Duration(fault.DurationMs) * time.Millisecond)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active = append(t.active, active)
	t.notifyWatches()
}

// notifyWatches wakes the open watches because the faults changed; t.mu must be held.
func (t *faultTable) notifyWatches() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// changes returns a channel that is closed when a fault is added or cleared.
func (t *faultTable) changes() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// take returns the fault of kind that affects this call, if any, and counts the call
// against the fault's Calls.
func (t *faultTable) take(service Service, verb string, kind FaultKind) (Fault, bool) {
	return t.takeMatching(service, verb, kind, func(Fault) bool { return true })
}

// takeMatching is take for the faults that matches accepts.
func (t *faultTable) takeMatching(service Service, verb string, kind FaultKind, matches func(Fault) bool) (Fault, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, f := range t.active {
		if f.Service != service || f.Kind != kind || (f.Verb != "" && f.Verb != verb) || !matches(f.Fault) {
			continue
		}
		if f.expired(now) || (f.Probability > 0 && t.random.Float64() >= f.Probability) {
			continue
		}
		if f.Calls > 0 {
			f.callsLeft--
		}
		return f.Fault, true
	}
	return Fault{}, false
}

// expired reports whether the fault has affected all its calls or its time has passed.
func (f *activeFault) expired(now time.Time) bool {
	return (f.Calls > 0 && f.callsLeft <= 0) || (!f.expiry.IsZero() && now.After(f.expiry))
}

// serveList lists the faults in force.
func (t *faultTable) serveList(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	now := time.Now()
	out := make([]Fault, 0, len(t.active))
	for _, f := range t.active {
		if !f.expired(now) {
			out = append(out, f.Fault)
		}
	}
	t.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}

// serveClear clears all faults.
func (t *faultTable) serveClear(w http.ResponseWriter, _ *http.Request) {
	t.clear()
	w.WriteHeader(http.StatusNoContent)
}

// clear removes all faults and wakes the open watches.
func (t *faultTable) clear() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active = nil
	t.notifyWatches()
}

// serveAddFault puts a fault in force and answers with it.
func (s *Server) serveAddFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		writeStatus(w, http.StatusBadRequest, "BadRequest", err.Error())
		return
	}
	s.AddFault(fault)
	writeJSON(w, http.StatusCreated, fault)
}

// AddFault puts a fault in force. FaultCompact takes effect at once and is not kept.
func (s *Server) AddFault(fault Fault) {
	if fault.Kind == FaultCompact {
		s.objects.compact()
		return
	}
	s.faults.add(fault)
}

// ClearFaults clears all faults.
func (s *Server) ClearFaults() { s.faults.clear() }
