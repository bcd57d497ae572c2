package dispatch

import (
	"context"
	"strconv"

	"mangoledge.example/mangoledge/internal/grant"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/verdict"
)

// followHolder follows a request held by another node, or takes it over if that node
// can't be reached.
func (d *Dispatcher) followHolder(ctx context.Context, claim *grant.ClaimReply, sub *Submission) (Attachment, error) {
	// Another submission of the same request may have started here during the claim.
	if e, ok, err := d.find(ctx, sub.Spec.ID); ok || err != nil {
		if err != nil {
			return nil, err
		}
		return d.attach(e, sub)
	}
	record := &claim.Record
	if record.Spec.Workspace != sub.Spec.Workspace {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUnknownRequest, "no such request in this workspace")
	}
	if record.Phase.Final() {
		return &recordAttachment{record: *record, position: sub.Position}, nil
	}
	holder := record.Holder
	if !sub.Forwarded && holder != d.self && d.reachable(holder) {
		attachment, err := d.forwarder.submit(ctx, d.addressOf(holder), *sub)
		if err == nil || isFinalRefusal(err) {
			return attachment, err
		}
	}
	if claim.Granted && holder == d.self {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeGrantTaken,
			"this node ran the request or began to, and its result is kept nowhere; no resend finds out more")
	}
	if claim.Granted {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeGrantTaken,
			"another node was given the right to run this request and does not answer; its result may still arrive").WithRetryAfter(resendDelay)
	}
	return d.takeOver(ctx, record, sub)
}

// takeOver claims a request whose holder, in the record seen, is presumed dead.
func (d *Dispatcher) takeOver(ctx context.Context, seen *request.Record, sub *Submission) (Attachment, error) {
	ticket, err := d.admit(&sub.Spec)
	if err != nil {
		return nil, d.refuse(ctx, &sub.Spec, verdict.From(err))
	}
	claim, err := d.claim(ctx, sub.Spec.ID, &sub.Spec, seen.Epoch)
	if err == nil && mayRun(claim) {
		d.recordDecision(sub.Spec.ID, "take over", "from "+string(seen.Holder))
		return d.startEntry(ctx, claim.Record, sub, ticket, true)
	}
	ticket.Release(false)
	if err == nil && claim.Record.Phase.Final() {
		return &recordAttachment{record: claim.Record, position: sub.Position}, nil
	}
	return nil, verdict.New(verdict.MayHaveRun, verdict.CodeNodeLost, "the node that ran this request does not answer; send the same ID again").WithRetryAfter(resendDelay)
}

// submitElsewhere forwards a request to another node because this one is stopping.
func (d *Dispatcher) submitElsewhere(ctx context.Context, sub *Submission) (Attachment, error) {
	refusal := verdict.New(verdict.NotRun, verdict.CodeStopping, "this node is stopping; use another address").WithRetryAfter(resendDelay)
	if sub.Forwarded {
		return nil, refusal
	}
	for _, member := range d.options.Members.Members() {
		if member.Incarnation == d.self || !member.Usable() {
			continue
		}
		attachment, err := d.forwarder.submit(ctx, member.PeerAddress, *sub)
		if err == nil || isFinalRefusal(err) {
			return attachment, err
		}
	}
	return nil, d.refuse(ctx, &sub.Spec, refusal)
}

// reachable reports whether the incarnation can be called: it is alive, leaving or
// suspect, and has the same protocol version. A node with another version might
// misinterpret the call.
func (d *Dispatcher) reachable(incarnation ident.Incarnation) bool {
	member, ok := d.options.Members.Lookup(incarnation)
	if !ok || member.Foreign {
		return false
	}
	return member.State == membership.StateAlive || member.State == membership.StateLeaving || member.State == membership.StateSuspect
}

func (d *Dispatcher) addressOf(incarnation ident.Incarnation) string {
	member, _ := d.options.Members.Lookup(incarnation)
	return member.PeerAddress
}

func formatEpoch(epoch uint64) string {
	return strconv.FormatUint(epoch, 10)
}
