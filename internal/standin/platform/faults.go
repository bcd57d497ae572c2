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

// FaultKind is a way for a service to go wrong.
type FaultKind string

// The kinds of faults.
const (
	// FaultOutage answers 503 without effect and ends watches.
	FaultOutage FaultKind = "outage"
	// FaultHang never answers, without effect, and silences watches.
	FaultHang FaultKind = "hang"
	// FaultSlow answers after DelayMs.
	FaultSlow FaultKind = "slow"
	// FaultLostAnswer lets the call take effect and cuts the connection without an answer.
	FaultLostAnswer FaultKind = "lost_answer"
	// FaultStaleRead answers reads as of Behind versions ago.
	FaultStaleRead FaultKind = "stale_read"
	// FaultDropWatch ends a watch at its next event or bookmark.
	FaultDropWatch FaultKind = "drop_watch"
	// FaultSilentWatch lets a watch say nothing any more, for good.
	FaultSilentWatch FaultKind = "silent_watch"
	// FaultCompact forgets all events so far, once, when it is set.
	FaultCompact FaultKind = "compact"
	// FaultRefuseStarts refuses to start hosts of FailureDomain, HostClass and Market; empty means any.
	FaultRefuseStarts FaultKind = "refuse_starts"
)

// Fault is one fault on command.
type Fault struct {
	Service Service   `json:"service"`
	Kind    FaultKind `json:"kind"`
	// Verb limits the fault to one verb, such as "update"; empty means any.
	Verb string `json:"verb,omitempty"`
	// Calls is how many calls it strikes; 0 means until it is cleared or over.
	Calls int `json:"calls,omitempty"`
	// DurationMs is how long it lasts in milliseconds; 0 means until it is cleared.
	DurationMs int64 `json:"durationMs,omitempty"`
	// Probability is the share of calls that it strikes; 0 means all.
	Probability float64 `json:"probability,omitempty"`
	// DelayMs is for FaultSlow.
	DelayMs int64 `json:"delayMs,omitempty"`
	// Behind is for FaultStaleRead, in versions.
	Behind uint64 `json:"behind,omitempty"`
	// FailureDomain, HostClass and Market are for FaultRefuseStarts.
	FailureDomain string `json:"failureDomain,omitempty"`
	HostClass     string `json:"hostClass,omitempty"`
	Market        Market `json:"market,omitempty"`
}

// activeFault is a fault with what is left of it.
type activeFault struct {
	Fault
	until time.Time
	left  int
}

// faultTable holds the faults in force.
type faultTable struct {
	mu      sync.Mutex
	random  *rand.Rand
	active  []*activeFault
	changed chan struct{}
}

func newFaultTable(seed uint64) *faultTable {
	return &faultTable{random: rand.New(rand.NewPCG(seed, seed)), changed: make(chan struct{})} //nolint:gosec // seeded on purpose
}

func (t *faultTable) add(fault Fault) {
	active := &activeFault{Fault: fault, left: fault.Calls}
	if fault.DurationMs > 0 {
		active.until = time.Now().Add(time.Duration(fault.DurationMs) * time.Millisecond)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active = append(t.active, active)
	t.wake()
}

// wake tells waiting watches that faults changed; t.mu must be held.
func (t *faultTable) wake() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// changes returns a channel that is closed when a fault is added or cleared.
func (t *faultTable) changes() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// strike returns the fault of kind that strikes this call, if any, and uses it up.
func (t *faultTable) strike(service Service, verb string, kind FaultKind) (Fault, bool) {
	return t.strikeWhere(service, verb, kind, func(Fault) bool { return true })
}

func (t *faultTable) strikeWhere(service Service, verb string, kind FaultKind, matches func(Fault) bool) (Fault, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, f := range t.active {
		if f.Service != service || f.Kind != kind || (f.Verb != "" && f.Verb != verb) || !matches(f.Fault) {
			continue
		}
		if f.over(now) || (f.Probability > 0 && t.random.Float64() >= f.Probability) {
			continue
		}
		if f.Calls > 0 {
			f.left--
		}
		return f.Fault, true
	}
	return Fault{}, false
}

func (f *activeFault) over(now time.Time) bool {
	return (f.Calls > 0 && f.left <= 0) || (!f.until.IsZero() && now.After(f.until))
}

func (t *faultTable) serveList(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	now := time.Now()
	out := make([]Fault, 0, len(t.active))
	for _, f := range t.active {
		if !f.over(now) {
			out = append(out, f.Fault)
		}
	}
	t.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}

func (t *faultTable) serveClear(w http.ResponseWriter, _ *http.Request) {
	t.clear()
	w.WriteHeader(http.StatusNoContent)
}

func (t *faultTable) clear() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active = nil
	t.wake()
}

func (s *Server) serveAddFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		writeStatus(w, http.StatusBadRequest, "BadRequest", err.Error())
		return
	}
	s.AddFault(fault)
	writeJSON(w, http.StatusCreated, fault)
}

// AddFault puts a fault in force.
func (s *Server) AddFault(fault Fault) {
	if fault.Kind == FaultCompact {
		s.objects.compact()
		return
	}
	s.faults.add(fault)
}

// ClearFaults ends all faults.
func (s *Server) ClearFaults() { s.faults.clear() }
