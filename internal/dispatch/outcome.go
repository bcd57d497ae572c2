package dispatch

// Outcome tells a Router how the use of a placement ended.
type Outcome uint8

// The outcomes of a placement.
const (
	// OutcomeDone means that the request completed.
	OutcomeDone Outcome = iota
	// OutcomeRefused means that the upstream did not accept the request.
	OutcomeRefused
	// OutcomeFailed means that the upstream failed.
	OutcomeFailed
	// OutcomeCrashed means that the upstream crashed.
	OutcomeCrashed
	// OutcomeMoved means that the request continues elsewhere, was cancelled, or did
	// not use the placement.
	OutcomeMoved
)
