package dispatch

// Outcome tells a router how a placement ended.
type Outcome uint8

// The outcomes of a placement.
const (
	// OutcomeDone means that the request ran to its end.
	OutcomeDone Outcome = iota
	// OutcomeRefused means that the upstream did not take the request.
	OutcomeRefused
	// OutcomeFailed means that the upstream failed.
	OutcomeFailed
	// OutcomeCrashed means that the upstream has ended.
	OutcomeCrashed
	// OutcomeMoved means that the request went on elsewhere, or was cancelled.
	OutcomeMoved
)
