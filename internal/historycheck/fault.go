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
	// FaultKill ends a process without a word.
	FaultKill FaultKind = "kill"
	// FaultPause stops a process and continues it later.
	FaultPause FaultKind = "pause"
	// FaultLink cuts, delays or silences a link.
	FaultLink FaultKind = "link"
	// FaultStore is an outage or a lost answer of the object store.
	FaultStore FaultKind = "store"
)

// announced reports whether the system is told before the fault takes effect.
func (k FaultKind) announced() bool {
	return k == FaultReclaim || k == FaultStop
}

// excuses reports whether the fault may cost a request its answer. Requests do
// without the object store, so that its faults excuse none.
func (k FaultKind) excuses() bool {
	return !k.announced() && k != FaultStore
}

// Fault is something that was done to a process or a link.
type Fault struct {
	Kind FaultKind
	// Target is the process or link.
	Target string
	// Address is the caller URL of the node whose process or callers' link is the target, or empty.
	Address string
	// Node is the node whose process or link to other nodes is the target, or empty.
	Node ident.Node
	// Upstream is the stand-in that is the target itself or by its link, or empty.
	Upstream string
	At       time.Time
	// Till is when the fault, or the process, had ended.
	Till time.Time
}

// overlaps reports whether the fault could touch the time from start to end.
func (f *Fault) overlaps(start, end time.Time) bool {
	return !f.At.After(end) && !f.Till.Before(start)
}

// felt reports whether the fault could be felt between start and end.
func (f *Fault) felt(start, end time.Time) bool {
	return !f.At.After(end) && !f.Till.Add(RecoveryTime).Before(start)
}
