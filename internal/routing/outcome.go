package routing

import "time"

// OutcomeKind is how an attempt at an upstream ended.
type OutcomeKind uint8

// Kinds of outcome.
const (
	// OutcomeDone means a complete answer.
	OutcomeDone OutcomeKind = iota
	// OutcomeFailed means an error or a lost connection caused by the upstream.
	OutcomeFailed
	// OutcomeCrashed means that the upstream crashed; it gets no new requests until it answers a probe again.
	OutcomeCrashed
	// OutcomeRefused means that the upstream refused the request because it was full.
	OutcomeRefused
	// OutcomeMoved means that the stream continued on another upstream because this one is leaving.
	OutcomeMoved
	// OutcomeCancelled means that the caller cancelled the request.
	OutcomeCancelled
	// OutcomeLeaving means that the upstream refused the request because it is leaving; it gets no new requests.
	OutcomeLeaving
	// OutcomeUnsent means that the reservation was released before anything was sent.
	OutcomeUnsent
)

// Outcome is how an attempt at an upstream ended and how fast the upstream was.
type Outcome struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Kind OutcomeKind
	// PerToken is the mean time between tokens, or 0 if unknown.
	PerToken time.Duration
}
