package historycheck

import (
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/standin/history"
	"mangoledge.example/mangoledge/internal/verdict"
)

// History is what is known about one run.
type History struct {
	// Calls are the callers' requests, each with all its sends.
	Calls []Call
	// Runs are the entries of all stand-ins, in the order of time for each stand-in.
	Runs []history.Entry
	// Faults are what was done to processes and links.
	Faults []Fault
	// Changes are the configuration changes that were answered as accepted.
	Changes []Change
	// Seen are versions of the configuration that nodes were seen to have in force.
	Seen []Seen
}

// Call is one request of a caller from its first send to its outcome.
type Call struct {
	// Name tells calls apart in reports.
	Name string
	// IDs are the request IDs used; a fresh one is taken only after a refusal as not run.
	IDs []string
	// Input is the prompt or the payload.
	Input string
	// Service is true for a call of a plain service.
	Service    bool
	Idempotent bool
	// MaxTokens is how many tokens a whole answer has.
	MaxTokens int
	// Accepted is true when a node told the caller so, or gave the answer.
	Accepted bool
	Started  time.Time
	Finished time.Time
	Deadline time.Time
	// Whole is true when the caller received its last event or its whole answer.
	Whole bool
	// Verdict is what the caller knows at the end about whether it may have run.
	Verdict verdict.Verdict
	// Returns is how often the caller's process was started again while the request was open.
	Returns int
	// Single is true when the request was sent once to one node and not come back to.
	Single bool
	// Cancelled is true when the caller gave the request up.
	Cancelled bool
	// Tokens are what the caller received of a stream.
	Tokens []string
	// Output is the reply of a plain service, or the text of a whole answer.
	Output string
	// Refusals are all refusals that the caller was told, in order.
	Refusals []Refusal
	// Losses are the connections that broke under the request.
	Losses []Loss
}

// Refusal is one refusal or failure as the caller was told.
type Refusal struct {
	ID      string
	Verdict verdict.Verdict
	At      time.Time
}

// Loss is a connection that broke, or went silent, before the last event.
type Loss struct {
	// Address is the base URL of the node.
	Address string
	At      time.Time
}

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
)

// announced reports whether the system is told before the fault takes effect.
func (k FaultKind) announced() bool {
	return k == FaultReclaim || k == FaultStop
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

// Change is a configuration change that an operator was told is accepted.
type Change struct {
	ID      ident.Change
	Version uint64
	At      time.Time
}

// Seen is the version that a node had in force at one moment.
type Seen struct {
	Incarnation ident.Incarnation
	Version     uint64
	At          time.Time
}
