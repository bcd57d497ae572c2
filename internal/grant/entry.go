package grant

import (
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/verdict"
)

// Entry is what a table keeps about one request.
type Entry struct {
	Record request.Record
	// Slot is used for non-idempotent requests only.
	Slot Slot
	// Cancelled is true when the caller wants no answer any more.
	Cancelled bool
	// packed are the tokens of a request that has ended, once isPacked is true;
	// Record has none then.
	packed   request.PackedTokens
	isPacked bool
}

func newEntry(spec request.Spec, holder ident.Incarnation, epoch uint64) *Entry {
	return &Entry{Record: request.Record{
		Spec:   spec,
		Phase:  request.PhaseWaiting,
		Holder: holder,
		Epoch:  epoch,
	}}
}

// record returns a copy whose tokens stay as they are when the entry goes on.
func (e *Entry) record() request.Record {
	out := e.Record
	if e.isPacked {
		out.Tokens = e.packed.Tokens()
	}
	out.Tokens = out.Tokens[:len(out.Tokens):len(out.Tokens)]
	return out
}

// pack puts the tokens of a request that has ended into little memory.
func (e *Entry) pack() {
	if e.isPacked || !e.Record.Phase.Final() {
		return
	}
	e.packed = request.PackTokens(e.Record.Tokens)
	e.Record.Tokens = nil
	e.isPacked = true
}

// unpacked returns the entry as it is handed over.
func (e *Entry) unpacked() Entry {
	return Entry{Record: e.record(), Slot: e.Slot, Cancelled: e.Cancelled}
}

// tokenCount returns how many tokens are known.
func (e *Entry) tokenCount() int {
	if e.isPacked {
		return e.packed.Len()
	}
	return len(e.Record.Tokens)
}

// claim makes holder the holder if it may be, and reports whether it is.
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

// ask takes the slot for holder if it may have it, and reports whether it has it.
func (e *Entry) ask(holder ident.Incarnation, epoch uint64) bool {
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

// fail takes the slot for nobody and ends the request as not run. The slot must be free.
func (e *Entry) fail(phase request.Phase, failure *verdict.Error) {
	e.Slot = Slot{Taken: true}
	e.Record.Phase = phase
	e.Record.Failure = notRun(failure)
}

// mayUpdate reports whether a message of holder under epoch changes the record.
func (e *Entry) mayUpdate(holder ident.Incarnation, epoch uint64) bool {
	if e.Slot.Taken {
		return e.Slot.takenBy(holder)
	}
	return holder != "" && e.Record.Holder == holder && e.Record.Epoch == epoch
}

// update returns the answer to a report.
func (e *Entry) update(applied bool) UpdateReply {
	return UpdateReply{
		Applied:   applied,
		Epoch:     e.Record.Epoch,
		Known:     e.tokenCount(),
		Cancelled: e.Cancelled,
	}
}

// notRun returns failure with the verdict NotRun.
func notRun(failure *verdict.Error) *verdict.Error {
	if failure == nil {
		return verdict.New(verdict.NotRun, verdict.CodeGrantTaken, "the right to run the request was taken for nobody")
	}
	out := *failure
	out.Verdict = verdict.NotRun
	return &out
}
