// Package grant decides who may run a request. It is the witness's table:
// free of I/O, clocks and goroutines, so that the model checker runs the very
// transition functions that the daemon runs.
//
// Invariants:
//   - a non-idempotent request is granted at most once, to one holder, for ever;
//   - a table that was closed for a hand-over grants nothing more, and its
//     snapshot is taken after it was closed;
//   - a table is handed over to one successor, for ever;
//   - the epoch of a record only grows; messages of an older epoch change nothing,
//     except that the granted holder may always report its result.
package grant

import (
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/verdict"
)

// ClaimRequest asks to become the holder of a request, and brings its record
// when the witness may not know it yet.
type ClaimRequest struct {
	ID     ident.RequestID
	Holder ident.Incarnation
	// Spec is nil when the asker knows only the ID.
	Spec *request.Spec
	// SeenEpoch is the epoch of the holder that the asker believes to be dead, or 0 at the first claim.
	// A claim that names an older epoch than the record's is not granted: somebody was faster.
	SeenEpoch uint64
}

// ClaimReply tells whether the asker is now the holder, and what is known.
type ClaimReply struct {
	// Found is false when the witness does not know the request and no Spec was brought.
	Found bool
	// Claimed is true when the asker is the holder under Record.Epoch.
	Claimed bool
	// Granted is true when the right to run a non-idempotent request was given
	// away for good, whoever has it.
	Granted bool
	// Cancelled is true when the caller has cancelled the request.
	Cancelled bool
	Record    request.Record
}

// Request asks for the right to run a non-idempotent request.
type Request struct {
	ID     ident.RequestID
	Holder ident.Incarnation
	Epoch  uint64
}

// Reply answers a Request.
type Reply struct {
	// Granted is true when this holder, and no other for ever, may run the request.
	Granted bool
	// Record is set when the grant was refused and the request is known.
	Record request.Record
}

// VoidRequest takes the grant for nobody, so that "not run" can be said.
type VoidRequest struct {
	ID ident.RequestID
	// Spec is kept when the witness does not know the request yet.
	Spec   *request.Spec
	Holder ident.Incarnation
	// Failure is what later senders of the ID are told; nil stands for a plain refusal. Its verdict becomes NotRun.
	Failure *verdict.Error
}

// VoidReply answers a VoidRequest.
type VoidReply struct {
	// Voided is true when nobody was and nobody will be granted the request.
	Voided bool
	Record request.Record
}

// ProgressRequest reports tokens and the place of a running request.
type ProgressRequest struct {
	ID          ident.RequestID
	Holder      ident.Incarnation
	Epoch       uint64
	Upstream    ident.Upstream
	UpstreamURL string
	Generation  ident.Generation
	// Forks are the earlier generations that Generation goes on from.
	Forks []request.Fork
	// Offset is the index of the first of Tokens.
	Offset int
	Tokens []string
	// Moves counts changes of upstream or holder. A new Generation starts at Offset 0 and with more Moves than the record has.
	Moves int
	// Released is true when the holder gives the request up for another to claim.
	Released bool
}

// ProgressBatch carries reports about several requests to one witness.
type ProgressBatch struct {
	Reports []ProgressRequest
}

// ProgressAnswer answers one report of a batch.
type ProgressAnswer struct {
	// Answered is false when the table could not be asked; the report is to be sent again.
	Answered bool
	Update   UpdateReply
}

// ProgressBatchReply has one answer for each report, in their order.
type ProgressBatchReply struct {
	Answers []ProgressAnswer
}

// FinishRequest reports the final state of a request.
type FinishRequest struct {
	ID     ident.RequestID
	Holder ident.Incarnation
	Epoch  uint64
	Record request.Record
}

// UpdateReply answers a ProgressRequest or a FinishRequest.
type UpdateReply struct {
	// Applied is false when the message came from a holder that is no longer the holder.
	Applied bool
	// Epoch is the record's epoch.
	Epoch uint64
	// Known is how many tokens the record has; a report whose Offset is beyond it is not applied and is to be sent again from there.
	Known int
	// Cancelled is true when the caller has cancelled the request.
	Cancelled bool
}

// FetchRequest asks for what is known of a request.
type FetchRequest struct {
	ID ident.RequestID
}

// FetchReply answers a FetchRequest.
type FetchReply struct {
	Found  bool
	Record request.Record
}

// CancelRequest records that the caller wants no answer any more.
type CancelRequest struct {
	ID        ident.RequestID
	Workspace ident.Workspace
}
