package bench

// Fault is a set of faults that a run meets.
type Fault uint16

// The faults.
const (
	// FaultReclaim takes a failure domain's hosts with seconds of notice.
	FaultReclaim Fault = 1 << iota
	// FaultRefused refuses the starts of replacements.
	FaultRefused
	// FaultSlow makes some upstreams three times as slow.
	FaultSlow
	// FaultSilent makes open connections to some upstreams go silent.
	FaultSilent
	// FaultPoison sends a content again and again that crashes every upstream.
	FaultPoison
	// FaultStale makes load reports and cache events ten seconds late.
	FaultStale
	// FaultPause pauses a node.
	FaultPause
)

// Scenario is a named set of faults.
type Scenario struct {
	Name   string
	Faults Fault
}

// Has reports whether f is among the faults.
func (s Scenario) Has(f Fault) bool {
	return s.Faults&f != 0
}

// Scenarios returns all scenarios: each fault alone, and all together.
func Scenarios() []Scenario {
	return []Scenario{
		{"calm", 0},
		{"reclaim", FaultReclaim},
		{"reclaim+refused", FaultReclaim | FaultRefused},
		{"slow", FaultSlow},
		{"silent", FaultSilent},
		{"poison", FaultPoison},
		{"stale", FaultStale},
		{"pause", FaultPause},
		{"all", FaultReclaim | FaultRefused | FaultSlow | FaultSilent | FaultPoison | FaultStale | FaultPause},
	}
}
