package request

// Phase is the stage that a request has reached.
type Phase string

// The phases of a request. Done, Failed and Cancelled are final.
const (
	PhaseWaiting   Phase = "waiting"
	PhaseRunning   Phase = "running"
	PhaseDone      Phase = "done"
	PhaseFailed    Phase = "failed"
	PhaseCancelled Phase = "cancelled"
)

// Final reports whether a request in this phase never changes its phase again.
func (p Phase) Final() bool {
	return p == PhaseDone || p == PhaseFailed || p == PhaseCancelled
}
