package grant

import (
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/verdict"
)

// Entry is the state that a table keeps for one request.
type Entry struct {
	Record request.Record
	// Slot is used for non-idempotent requests only.
	Slot Slot
	// Cancelled is true when the caller has cancelled the request.
	Cancelled bool
	// packed holds the tokens of a request in a final phase once isPacked is true;
	// Record.Tokens is nil from then on.
	packed   request.PackedTokens
	isPacked bool
	// inputs counts the input; nil if it isn't counted.
	inputs *Inputs
}

// newEntry returns the entry of a waiting request.
func newEntry(spec request.Spec, holder ident.Incarnation, epoch uint64) *Entry {
	return &Entry{Record: request.Record{
		Spec:   spec,
		Phase:  request.PhaseWaiting,
		Holder: holder,
		Epoch:  epoch,
	}}
}

// recordCopy returns a copy of the record whose tokens do not change when more
// tokens are appended to the entry.
func (e *Entry) recordCopy() request.Record {
	out := e.Record
	if e.isPacked {
		out.Tokens = e.packed.Tokens()
	}
	out.Tokens = out.Tokens[:len(out.Tokens):len(out.Tokens)]
	return out
}

// pack moves the tokens of a request in a final phase to a compact form, and drops its input: it is not run
// any more.
func (e *Entry) pack() {
	if e.isPacked || !e.Record.Phase.Final() {
		return
	}
	e.packed = request.PackTokens(e.Record.Tokens)
	e.Record.Tokens = nil
	e.dropInput()
	e.isPacked = true
}

// snapshotCopy returns the entry for a snapshot, with its tokens unpacked.
func (e *Entry) snapshotCopy() Entry {
	return Entry{Record: e.recordCopy(), Slot: e.Slot, Cancelled: e.Cancelled}
}

// tokenCount returns the number of tokens in the record.
func (e *Entry) tokenCount() int {
	if e.isPacked {
		return e.packed.Len()
	}
	return len(e.Record.Tokens)
}

// claim makes holder the holder of the request if the claim is valid, and reports
// whether it is the holder now.
func (e *Entry) claim(holder ident.Incarnation, seenEpoch uint64) bool {
	if e.Record.Phase.Final() {
		return false
	}
	if e.Record.Holder == holder {
		return true
	}
	if e.Slot.Taken {
		return false
	}
	if e.Record.Holder != "" && e.Record.Epoch != seenEpoch {
		return false
	}
	e.Record.Holder = holder
	e.Record.Epoch++
	e.Record.Moves++
	return true
}

// grantTo gives holder the right to run the request if it may have it, and reports
// whether it has it. For a non-idempotent request this takes the slot.
func (e *Entry) grantTo(holder ident.Incarnation, epoch uint64) bool {
	if e.Slot.Taken {
		return e.Slot.takenBy(holder) && e.Record.Epoch == epoch
	}
	if e.Record.Phase.Final() || e.Cancelled {
		return false
	}
	if holder == "" || e.Record.Holder != holder || e.Record.Epoch != epoch {
		return false
	}
	if !e.Record.Spec.Idempotent {
		e.Slot = Slot{Taken: true, Holder: holder}
	}
	e.Record.Phase = request.PhaseRunning
	return true
}

// endNotRun voids the slot, which must be free, and ends the request as not run.
func (e *Entry) endNotRun(phase request.Phase, failure *verdict.Error) {
	e.Slot = Slot{Taken: true}
	e.Record.Phase = phase
	e.Record.Failure = withNotRun(failure)
	e.pack()
}

// mayUpdate reports whether a message from holder under epoch may change the record.
func (e *Entry) mayUpdate(holder ident.Incarnation, epoch uint64) bool {
	if e.Slot.Taken {
		return e.Slot.takenBy(holder)
	}
	return holder != "" && e.Record.Holder == holder && e.Record.Epoch == epoch
}

// updateReply returns the reply to a ProgressRequest or a FinishRequest.
func (e *Entry) updateReply(applied bool) UpdateReply {
	return UpdateReply{
		Applied:   applied,
		Epoch:     e.Record.Epoch,
		Known:     e.tokenCount(),
		Cancelled: e.Cancelled,
	}
}

// withNotRun returns a copy of failure with the verdict NotRun, or a default error
// if failure is nil.
func withNotRun(failure *verdict.Error) *verdict.Error {
	if failure == nil {
		return verdict.New(verdict.NotRun, verdict.CodeGrantTaken, "the right to run the request was taken for nobody")
	}
	out := *failure
	out.Verdict = verdict.NotRun
	return &out
}
