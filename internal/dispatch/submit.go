package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/grant"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/verdict"
)

// resendDelay is when a caller may come back after a refusal that passes soon.
const resendDelay = 500 * time.Millisecond

// Submit accepts a request, or finds the one that was accepted under its ID.
// Its error is a *verdict.Error.
func (d *Dispatcher) Submit(ctx context.Context, sub Submission) (Attachment, error) {
	if e, ok := d.table.get(sub.Spec.ID); ok && !e.isReleased() {
		return d.attach(e, &sub)
	}
	if d.stopping.Load() {
		return d.submitElsewhere(ctx, &sub)
	}
	home := sub.Spec.ID.Home
	if home == d.self {
		return d.accept(ctx, &sub)
	}
	if !sub.Forwarded && d.reachable(home) {
		attachment, err := d.forwarder.submit(ctx, d.addressOf(home), sub)
		if err == nil || isFinalRefusal(err) {
			return attachment, err
		}
		d.note(sub.Spec.ID, "take over", "home did not answer: "+err.Error())
	}
	return d.accept(ctx, &sub)
}

// attach follows an entry of this node.
func (d *Dispatcher) attach(e *entry, sub *Submission) (Attachment, error) {
	if e.spec.Workspace != sub.Spec.Workspace {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUnknownRequest, "no such request in this workspace")
	}
	if !sameWork(&e.spec, &sub.Spec) {
		return nil, verdict.BadInput("id", "this ID was used for another request")
	}
	position := sub.Position
	record := e.snapshot()
	if !record.Continues(position.Generation, position.Offset) && len(position.Received) == position.Offset && e.spec.Idempotent {
		d.restart(e, &position)
	}
	return &localAttachment{entry: e, position: position}, nil
}

// sameWork reports whether two specs ask for the same.
func sameWork(a, b *request.Spec) bool {
	return a.Model == b.Model && a.Service == b.Service && a.Input == b.Input && a.Kind == b.Kind &&
		a.Adapter == b.Adapter && a.Idempotent == b.Idempotent
}

// restart goes on behind the caller's own tokens, in a new generation.
func (d *Dispatcher) restart(e *entry, position *Position) {
	generation := newGeneration(e.spec.ID, e.snapshot().Epoch)
	if !e.adopt(*position, generation) {
		return
	}
	position.Generation = generation
	d.note(e.spec.ID, "restart", "the caller holds tokens that are not known here")
}

// accept claims a request, as its home or because its home does not answer.
func (d *Dispatcher) accept(ctx context.Context, sub *Submission) (Attachment, error) {
	ticket, err := d.admit(&sub.Spec)
	if err != nil {
		return nil, d.refuse(ctx, &sub.Spec, verdict.From(err))
	}
	claim, err := d.claim(ctx, sub.Spec.ID, &sub.Spec, 0)
	if err != nil {
		return d.acceptWithoutClaim(sub, ticket, err)
	}
	if mayBegin(claim) {
		return d.begin(claim.Record, sub, ticket, true)
	}
	ticket.Release(false)
	return d.followHolder(ctx, claim, sub)
}

// acceptWithoutClaim runs an idempotent request whose witness is lost; any other is refused.
func (d *Dispatcher) acceptWithoutClaim(sub *Submission, ticket Ticket, cause error) (Attachment, error) {
	if decided, ok := witnessDecision(cause); ok {
		ticket.Release(false)
		return nil, decided
	}
	if !sub.Spec.Idempotent {
		ticket.Release(false)
		return nil, d.witnessLost(sub.Spec.ID, cause)
	}
	d.note(sub.Spec.ID, "accept", "without a witness")
	record := request.Record{Spec: sub.Spec, Phase: request.PhaseWaiting, Holder: d.self, Epoch: 1}
	return d.begin(record, sub, ticket, false)
}

// mayBegin reports whether a claim lets this node run the request. A request
// that was granted before may have run, even when the grant was this node's own.
func mayBegin(claim *grant.ClaimReply) bool {
	return claim.Claimed && !claim.Granted && !claim.Record.Phase.Final()
}

// admit asks guard and admission for a request.
func (d *Dispatcher) admit(spec *request.Spec) (Ticket, error) {
	if err := d.options.Guard.Check(spec); err != nil {
		d.note(spec.ID, "refuse", err.Error())
		return nil, err
	}
	ticket, err := d.options.Admission.Admit(spec)
	if err != nil {
		d.note(spec.ID, "refuse", err.Error())
	}
	return ticket, err
}

// witnessDecision returns the refusal of a witness that was reached.
func witnessDecision(err error) (*verdict.Error, bool) {
	var refusal *verdict.Error
	if !errors.As(err, &refusal) || refusal.Code == verdict.CodeWitnessLost {
		return nil, false
	}
	if refusal.Code == verdict.CodeForbidden {
		return errUnknown(), true
	}
	return refusal, true
}

// begin puts a claimed request to work.
func (d *Dispatcher) begin(record request.Record, sub *Submission, ticket Ticket, witnessed bool) (Attachment, error) {
	position := sub.Position
	known := len(record.Tokens)
	if len(position.Received) > len(record.Tokens) && sub.Spec.Idempotent && !record.Phase.Final() {
		record.Tokens = position.Received
		record.Forks = nil
		record.Generation = position.Generation
	}
	if record.Generation == "" {
		record.Generation = newGeneration(record.Spec.ID, record.Epoch)
	}
	fresh := newEntry(record, ticket)
	fresh.witnessed = witnessed
	fresh.reported = known
	e, added := d.table.put(fresh)
	if !added {
		ticket.Release(false)
		return d.attach(e, sub)
	}
	if !d.workers.submit(e) {
		e.finish(request.PhaseFailed, verdict.New(verdict.MayHaveRun, verdict.CodeOverloaded, "too many requests wait on this node").WithRetryAfter(resendDelay))
		ticket.Release(false)
	}
	d.note(record.Spec.ID, "accept", "claimed under epoch "+epochText(record.Epoch))
	return &localAttachment{entry: e, position: position}, nil
}

// refuse makes a refusal true: of a non-idempotent request, "not run" is said
// only after its grant was given to nobody. It names no time to come back once
// no resend can bring another answer.
func (d *Dispatcher) refuse(ctx context.Context, spec *request.Spec, refusal *verdict.Error) error {
	if spec.Idempotent || refusal.Verdict != verdict.NotRun {
		return refusal
	}
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	reply, err := d.options.Witness.Void(ctx, &grant.VoidRequest{ID: spec.ID, Spec: spec, Holder: d.self})
	if err == nil && reply.Voided {
		return refusal
	}
	out := *refusal
	out.Verdict = verdict.MayHaveRun
	if d.neverDecided(spec.ID, err) {
		out.RetryAfter = 0
	}
	return &out
}

// claim asks the witness to make this node the holder.
func (d *Dispatcher) claim(ctx context.Context, id ident.RequestID, spec *request.Spec, seen uint64) (*grant.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	reply, err := d.options.Witness.Claim(ctx, &grant.ClaimRequest{ID: id, Holder: d.self, Spec: spec, SeenEpoch: seen})
	return &reply, err
}
