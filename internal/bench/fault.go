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
	// Extra is added to the load that is asked for, as a part of nominal capacity.
	Extra float64
}

// Has reports whether f is among the faults.
func (s Scenario) Has(f Fault) bool {
	return s.Faults&f != 0
}

// overloadExtra is how much more load than nominal the overload scenario asks for.
const overloadExtra = 0.5

// Scenarios returns all scenarios: each fault alone, all together, and a
// reclaim under more load than what is left can serve.
func Scenarios() []Scenario {
	return []Scenario{
		{"calm", 0, 0},
		{"reclaim", FaultReclaim, 0},
		{wave, FaultReclaim | FaultRefused, 0},
		{"slow", FaultSlow, 0},
		{"silent", FaultSilent, 0},
		{"poison", FaultPoison, 0},
		{"stale", FaultStale, 0},
		{"pause", FaultPause, 0},
		{"all", FaultReclaim | FaultRefused | FaultSlow | FaultSilent | FaultPoison | FaultStale | FaultPause, 0},
		{"overload", FaultReclaim | FaultRefused, overloadExtra},
	}
}
