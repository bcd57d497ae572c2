package bench

// Fault is a set of faults that are injected into a run.
type Fault uint16

// The faults.
const (
	// FaultReclaim takes the hosts of a failure domain after a notice of some seconds.
	FaultReclaim Fault = 1 << iota
	// FaultRefusedStarts refuses the start of replacements.
	FaultRefusedStarts
	// FaultSlow makes the steps of some engines three times as long for a while.
	FaultSlow
	// FaultSilent makes open connections to some engines deliver nothing any more.
	FaultSilent
	// FaultPoison repeatedly sends content that crashes every upstream that runs it.
	FaultPoison
	// FaultStale delays load reports and cache events by ten seconds, in a run of a minute.
	FaultStale
	// FaultPause pauses a node.
	FaultPause
)

// Scenario is a named set of faults.
type Scenario struct {
	Name   string
	Faults Fault
	// ExtraLoad is added to the requested load, as a fraction of nominal capacity.
	ExtraLoad float64
}

// Has reports whether f is among the faults.
func (s Scenario) Has(f Fault) bool {
	return s.Faults&f != 0
}

// overloadExtraLoad is the load beyond nominal in the overload scenario.
const overloadExtraLoad = 0.5

// Scenarios returns all scenarios: no fault, each fault alone (refused starts only together
// with a reclaim), all together, and a reclaim with refused starts under more load than the
// remaining hosts can serve.
func Scenarios() []Scenario {
	return []Scenario{
		{"calm", 0, 0},
		{"reclaim", FaultReclaim, 0},
		{waveScenario, FaultReclaim | FaultRefusedStarts, 0},
		{"slow", FaultSlow, 0},
		{"silent", FaultSilent, 0},
		{"poison", FaultPoison, 0},
		{"stale", FaultStale, 0},
		{"pause", FaultPause, 0},
		{"all", FaultReclaim | FaultRefusedStarts | FaultSlow | FaultSilent | FaultPoison | FaultStale | FaultPause, 0},
		{"overload", FaultReclaim | FaultRefusedStarts, overloadExtraLoad},
	}
}
