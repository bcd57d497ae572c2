package request

// Phase is how far a request has come.
type Phase string

// The phases of a request. Done, Failed and Cancelled are final.
const (
	PhaseWaiting   Phase = "waiting"
	PhaseRunning   Phase = "running"
	PhaseDone      Phase = "done"
	PhaseFailed    Phase = "failed"
	PhaseCancelled Phase = "cancelled"
)

// Final reports whether the phase never changes again.
func (p Phase) Final() bool {
	return p == PhaseDone || p == PhaseFailed || p == PhaseCancelled
}
