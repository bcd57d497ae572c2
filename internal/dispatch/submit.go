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

// resendDelay is the RetryAfter of refusals with a temporary cause.
const resendDelay = 500 * time.Millisecond

// Submit accepts a request, or attaches to the one already accepted under its ID. Its
// error is a *verdict.Error.
func (d *Dispatcher) Submit(ctx context.Context, sub Submission) (Attachment, error) {
	if e, ok, err := d.find(ctx, sub.Spec.ID); ok || err != nil {
		if err != nil {
			return nil, err
		}
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
		d.recordDecision(sub.Spec.ID, "take over", "home did not answer: "+err.Error())
	}
	return d.accept(ctx, &sub)
}

// attach returns an attachment to an entry of this node, for a resend of its request.
func (d *Dispatcher) attach(e *entry, sub *Submission) (Attachment, error) {
	if e.spec.Workspace != sub.Spec.Workspace {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUnknownRequest, "no such request in this workspace")
	}
	if !e.sameWork(&sub.Spec) {
		return nil, verdict.BadInput("id", "this ID was used for another request")
	}
	position := sub.Position
	record := e.snapshot()
	if !record.Continues(position.Generation, position.Offset) && len(position.Received) == position.Offset && e.spec.Idempotent {
		d.restart(e, &position)
	}
	return &localAttachment{entry: e, position: position, answers: d.options.Answers}, nil
}

// restart continues the request after the caller's own tokens, in a new generation.
func (d *Dispatcher) restart(e *entry, position *Position) {
	generation := newGeneration(e.spec.ID, e.snapshot().Epoch)
	if !e.restartAfter(*position, generation) {
		return
	}
	position.Generation = generation
	d.recordDecision(e.spec.ID, "restart", "the caller holds tokens that are not known here")
}

// accept claims a request at its witness and starts it. This node is the request's home,
// or its home does not answer.
func (d *Dispatcher) accept(ctx context.Context, sub *Submission) (Attachment, error) {
	ticket, err := d.admit(&sub.Spec)
	if err != nil {
		return nil, d.refuse(ctx, &sub.Spec, verdict.From(err))
	}
	claim, err := d.claim(ctx, sub.Spec.ID, &sub.Spec, 0)
	if err != nil {
		return d.acceptWithoutClaim(ctx, sub, ticket, err)
	}
	if mayRun(claim) {
		return d.startEntry(ctx, claim.Record, sub, ticket, true)
	}
	ticket.Release(false)
	return d.followHolder(ctx, claim, sub)
}

// acceptWithoutClaim starts an idempotent request whose witness can't be reached, and
// refuses a non-idempotent one.
func (d *Dispatcher) acceptWithoutClaim(ctx context.Context, sub *Submission, ticket Ticket, cause error) (Attachment, error) {
	if decided, ok := witnessDecision(cause); ok {
		ticket.Release(false)
		return nil, decided
	}
	if !sub.Spec.Idempotent {
		ticket.Release(false)
		return nil, d.errWitnessLost(sub.Spec.ID, cause)
	}
	d.recordDecision(sub.Spec.ID, "accept", "without a witness")
	record := request.Record{Spec: sub.Spec, Phase: request.PhaseWaiting, Holder: d.self, Epoch: 1}
	return d.startEntry(ctx, record, sub, ticket, false)
}

// mayRun reports whether a claim allows this node to run the request. A request that was
// granted before may have run already, even if the grant was to this node.
func mayRun(claim *grant.ClaimReply) bool {
	return claim.Claimed && !claim.Granted && !claim.Record.Phase.Final()
}

// admit checks a request with the guard and gets its ticket from admission.
func (d *Dispatcher) admit(spec *request.Spec) (Ticket, error) {
	if err := d.options.Guard.Check(spec); err != nil {
		d.recordDecision(spec.ID, "refuse", err.Error())
		return nil, err
	}
	ticket, err := d.options.Admission.Admit(spec)
	if err != nil {
		d.recordDecision(spec.ID, "refuse", err.Error())
	}
	return ticket, err
}

// witnessDecision returns the refusal in err if it came from a witness that was reached.
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

// startEntry adds a claimed request to the table and queues it for a worker.
func (d *Dispatcher) startEntry(ctx context.Context, record request.Record, sub *Submission, ticket Ticket, witnessed bool) (Attachment, error) {
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
	fresh.retain(sub.Memory)
	e, added := d.table.put(fresh)
	d.follow(ctx, e, nil)
	if !added {
		fresh.dropInput()
		ticket.Release(false)
		return d.attach(e, sub)
	}
	if !d.workers.submit(e) {
		e.finish(request.PhaseFailed, verdict.New(verdict.MayHaveRun, verdict.CodeOverloaded, "too many requests wait on this node").WithRetryAfter(resendDelay))
		e.dropInput()
		ticket.Release(false)
	}
	d.recordDecision(record.Spec.ID, "accept", "claimed under epoch "+formatEpoch(record.Epoch))
	return &localAttachment{entry: e, position: position, answers: d.options.Answers}, nil
}

// refuse returns the refusal to give to the caller. For a non-idempotent request, "not
// run" stays only after the witness has voided the grant; otherwise the verdict becomes
// MayHaveRun, without a RetryAfter once no resend can get another answer.
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
	if d.isPermanentlyUndecided(spec.ID, err) {
		out.RetryAfter = 0
	}
	return &out
}

// claim asks the witness to make this node the holder; seen is the last known epoch, or 0.
func (d *Dispatcher) claim(ctx context.Context, id ident.RequestID, spec *request.Spec, seen uint64) (*grant.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	reply, err := d.options.Witness.Claim(ctx, &grant.ClaimRequest{ID: id, Holder: d.self, Spec: spec, SeenEpoch: seen})
	return &reply, err
}
