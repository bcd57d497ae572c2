package historycheck

import (
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

// FaultKind is a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	// FaultReclaim is an announced reclaim of a host.
	FaultReclaim FaultKind = "reclaim"
	// FaultStop is a planned stop of a node.
	FaultStop FaultKind = "stop"
	// FaultKill kills a process without notice.
	FaultKill FaultKind = "kill"
	// FaultPause suspends a process and resumes it later.
	FaultPause FaultKind = "pause"
	// FaultLink cuts, delays, throttles or blackholes a link.
	FaultLink FaultKind = "link"
	// FaultStore is an outage of the object store or a lost answer from it.
	FaultStore FaultKind = "store"
)

// announced reports whether the system is told before the fault takes effect.
func (k FaultKind) announced() bool {
	return k == FaultReclaim || k == FaultStop
}

// excuses reports whether a fault of this kind can justify that a request has no answer.
// Faults of the object store cannot, because requests do not need it.
func (k FaultKind) excuses() bool {
	return !k.announced() && k != FaultStore
}

// Fault is a fault that the test injected into a process, a link or the object store.
type Fault struct {
	Kind FaultKind
	// Target names the process, link or store.
	Target string
	// Address is the caller URL of the node whose process or link to callers is the target, or empty.
	Address string
	// Node is the node whose process or link to other nodes is the target, or empty.
	Node ident.Node
	// Upstream is the stand-in whose process or link is the target, or empty.
	Upstream string
	At       time.Time
	// End is when the fault was over, or the process had ended.
	End time.Time
}

// overlaps reports whether the fault overlaps the time from start to end.
func (f *Fault) overlaps(start, end time.Time) bool {
	return !f.At.After(end) && !f.End.Before(start)
}

// mayAffect reports whether the fault, or the RecoveryTime after it, overlaps the time
// from start to end.
func (f *Fault) mayAffect(start, end time.Time) bool {
	return !f.At.After(end) && !f.End.Add(RecoveryTime).Before(start)
}
