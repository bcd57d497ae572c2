// Package grant implements the table in which a witness decides who may run a
// request. It is free of I/O, clocks and goroutines, so that the model checker in
// the tests runs the same transition functions as the daemon.
//
// Each non-idempotent request has a slot, which is taken at most once: either by
// the holder that is granted the right to run the request, or without a holder. A
// slot taken without a holder is void: the request can no longer be run, so that the
// caller can be told "not run". A request whose slot is taken and that has no entry, since
// the entry has expired or the request was voided by its ID alone, is called spent.
//
// Invariants:
//   - a non-idempotent request is granted at most once, to one holder, and the
//     grant is never withdrawn;
//   - a table that was closed for a hand-over grants nothing more, and its
//     snapshot is taken after it was closed;
//   - a table has at most one successor, which never changes;
//   - the epoch of a record only grows; messages of an older epoch change nothing,
//     except that the holder with the grant may always report its result.
package grant

import (
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/verdict"
)

// ClaimRequest asks to become the holder of a request. It carries the Spec when
// the witness may not have an entry for the request yet.
type ClaimRequest struct {
	ID     ident.RequestID
	Holder ident.Incarnation
	// Spec is nil when the claimant knows only the ID.
	Spec *request.Spec
	// SeenEpoch is the epoch of the holder that the claimant believes dead, or 0 for the first claim.
	// A claim with an epoch older than the record's fails: another node has claimed the request since.
	SeenEpoch uint64
	// OmitInput is true if the reply needs no copy of the input in Spec. Older releases don't set it.
	OmitInput bool
}

// ClaimReply tells whether the claimant is now the holder, and returns the record.
type ClaimReply struct {
	// Found is false when the witness has no entry and the request carried no Spec.
	Found bool
	// Claimed is true when the claimant is the holder under Record.Epoch.
	Claimed bool
	// Granted is true when the slot of a non-idempotent request is, or may have been,
	// taken, by any holder or without one.
	Granted bool
	// Cancelled is true when the caller has cancelled the request.
	Cancelled bool
	// InputOmitted is true if the record's input is that of the request's Spec, and not repeated.
	InputOmitted bool
	Record       request.Record
}

// OmitInput removes the input from the reply to req if the claimant has it.
func (r *ClaimReply) OmitInput(req *ClaimRequest) {
	if req.OmitInput && req.Spec != nil && r.Record.Spec.Input == req.Spec.Input {
		r.InputOmitted, r.Record.Spec.Input = true, ""
	}
}

// RestoreInput adds the input that OmitInput removed from the reply to req.
func (r *ClaimReply) RestoreInput(req *ClaimRequest) {
	if r.InputOmitted && req.Spec != nil {
		r.InputOmitted, r.Record.Spec.Input = false, req.Spec.Input
	}
}

// Request asks for the right to run a non-idempotent request.
type Request struct {
	ID     ident.RequestID
	Holder ident.Incarnation
	Epoch  uint64
}

// Reply answers a Request.
type Reply struct {
	// Granted is true when this holder may run the request. No other holder ever may
	// if the request is non-idempotent.
	Granted bool
	// Record is set when the grant was refused and the table knows the request.
	Record request.Record
}

// VoidRequest voids the slot of a request, so that the caller can be told "not run".
type VoidRequest struct {
	ID ident.RequestID
	// Spec is stored when the witness has no entry for the request yet.
	Spec   *request.Spec
	Holder ident.Incarnation
	// Failure is returned to later senders of the ID, with its verdict set to NotRun;
	// nil stands for a default refusal.
	Failure *verdict.Error
}

// VoidReply answers a VoidRequest.
type VoidReply struct {
	// Voided is true when the request has not been granted and never will be.
	Voided bool
	Record request.Record
}

// ProgressRequest reports the tokens and the upstream of a running request.
type ProgressRequest struct {
	ID          ident.RequestID
	Holder      ident.Incarnation
	Epoch       uint64
	Upstream    ident.Upstream
	UpstreamURL string
	Generation  ident.Generation
	// Forks are the earlier generations that Generation continues.
	Forks []request.Fork
	// Offset is the index of the first of Tokens.
	Offset int
	Tokens []string
	// Moves counts changes of upstream or holder. A new Generation starts at Offset 0
	// and with more Moves than the record has.
	Moves int
	// Released is true when the holder gives up the request so that another node can claim it.
	Released bool
}

// ProgressBatch carries reports for several requests to one witness.
type ProgressBatch struct {
	Reports []ProgressRequest
}

// ProgressAnswer answers one report of a batch.
type ProgressAnswer struct {
	// Answered is false when the table could not process the report; the report must be resent.
	Answered bool
	Update   UpdateReply
}

// ProgressBatchReply has one answer for each report, in the order of the reports.
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
	// Applied is false when the message changed nothing, for example because its sender
	// is no longer the holder.
	Applied bool
	// Epoch is the record's epoch, or 0 if the table has no entry for the request.
	Epoch uint64
	// Known is the number of tokens in the record. A report whose Offset is greater is
	// not applied and must be resent from this offset.
	Known int
	// Cancelled is true when the caller has cancelled the request.
	Cancelled bool
}

// FetchRequest asks for the record of a request.
type FetchRequest struct {
	ID ident.RequestID
}

// FetchReply answers a FetchRequest.
type FetchReply struct {
	Found  bool
	Record request.Record
}

// CancelRequest tells the witness that the caller has cancelled a request.
type CancelRequest struct {
	ID        ident.RequestID
	Workspace ident.Workspace
}
