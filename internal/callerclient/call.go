package callerclient

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/api/callerapi"
	"mangoledge.example/mangoledge/internal/verdict"
)

// call is one request on its way to an outcome. It belongs to one goroutine.
type call struct {
	client   *Client
	sub      callerapi.Submission
	deadline time.Time
	observer Observer
	result   Result
	// lastToken is when the last token came.
	lastToken time.Time
	// resuming is true when the next attempt resumes the stream rather than sending the request.
	resuming bool
	// mayHaveLeft is true once a byte of a request under the current ID may have left this process.
	mayHaveLeft bool
	lastAddress string
	// toldID is the ID that the observer was told last.
	toldID string
}

// Send sends sub and comes back with the same ID until its outcome is known or
// its deadline has passed. An empty ID is chosen before the first send.
func (c *Client) Send(ctx context.Context, sub callerapi.Submission, observer Observer) Result {
	k := c.newCall(sub, observer)
	k.result.ID = sub.ID.Or("")
	return k.run(ctx)
}

// Resume reads the stream of the request sub.ID behind the tokens that the
// caller has, which belong to sub.Generation and are given in sub.Received.
// With a Kind, the request is sent again under its ID when the site has lost its progress.
func (c *Client) Resume(ctx context.Context, sub callerapi.Submission, observer Observer) Result {
	k := c.newCall(sub, observer)
	k.sub.Stream = callerapi.NewOptBool(true)
	k.result.ID = sub.ID.Or("")
	k.result.Generation = sub.Generation.Or("")
	k.result.Tokens = append([]string(nil), sub.Received...)
	k.resuming = true
	k.mayHaveLeft = true
	return k.run(ctx)
}

func (c *Client) newCall(sub callerapi.Submission, observer Observer) *call {
	if observer == nil {
		observer = Silent{}
	}
	now := time.Now()
	return &call{
		client:   c,
		sub:      sub,
		observer: observer,
		deadline: now.Add(time.Duration(sub.DeadlineMs) * time.Millisecond),
		result:   Result{Started: now},
	}
}

func (k *call) run(ctx context.Context) Result {
	ctx, cancel := context.WithDeadline(ctx, k.deadline)
	defer cancel()
	for k.result.Attempts < k.client.options.MaxAttempts {
		end := k.attempt(ctx)
		if end.whole {
			return k.finish(OutcomeWhole, attemptEnd{})
		}
		next := k.decide(end)
		if next == actionGiveUp {
			return k.finish(OutcomeRefused, end)
		}
		if !k.prepare(ctx, next, end) {
			return k.finish(OutcomeLost, end)
		}
	}
	return k.finish(OutcomeLost, attemptEnd{err: errors.Newf("no answer after %d attempts", k.result.Attempts)})
}

// attempt sends or resumes once.
func (k *call) attempt(ctx context.Context) attemptEnd {
	book, err := k.client.Addresses(ctx)
	if err != nil {
		k.result.Attempts++
		return endOf(err)
	}
	if k.result.ID == "" {
		k.result.ID = k.client.newID(book)
		k.mayHaveLeft = false
	}
	k.tellID()
	address := k.pick(book)
	k.result.Attempts++
	k.result.Addresses = append(k.result.Addresses, address)
	k.lastAddress = address
	var end attemptEnd
	if k.sub.Stream.Or(false) {
		end = k.stream(ctx, address)
	} else {
		end = k.unary(ctx, address)
	}
	if observer, ok := k.observer.(RefusalObserver); ok && end.refusal != nil {
		observer.Refused(k.result.ID, *end.refusal)
	}
	if end.err != nil && end.refusal == nil {
		k.noteLoss(ctx, address, end.err)
	}
	if end.refusal != nil || !neverSent(end.err) {
		k.mayHaveLeft = true
	}
	return end
}

// tellID tells the observer the ID before anything is sent under it.
func (k *call) tellID() {
	if k.toldID == k.result.ID {
		return
	}
	k.toldID = k.result.ID
	if observer, ok := k.observer.(IDObserver); ok {
		observer.Using(k.result.ID)
	}
}

// noteLoss has a failed address avoided, unless it was the caller who gave up.
func (k *call) noteLoss(ctx context.Context, address string, err error) {
	if ctx.Err() != nil && !errors.Is(err, errSilent) {
		return
	}
	k.client.avoid(address)
	k.client.forget()
}

// pick returns the address to try: the request's home, else the first that did
// not fail lately, and not the last one tried when there is another.
func (k *call) pick(book *callerapi.AddressBook) string {
	home := homeOf(k.result.ID)
	homeFirst := slices.Clone(book.Addresses)
	slices.SortStableFunc(homeFirst, func(a, b callerapi.Address) int {
		return cmp.Compare(rankOf(a, home), rankOf(b, home))
	})
	ordered := k.client.avoidedLast(homeFirst)
	if len(ordered) > 1 && ordered[0].URL == k.lastAddress {
		return ordered[1].URL
	}
	return ordered[0].URL
}

// rankOf is 0 for the address of home and 1 for others.
func rankOf(address callerapi.Address, home string) int {
	if homeOf(address.RequestIdPrefix) == home {
		return 0
	}
	return 1
}

func (k *call) finish(outcome Outcome, end attemptEnd) Result {
	out := k.result
	out.Finished = time.Now()
	out.Outcome = outcome
	out.Refusal = end.refusal
	out.Err = end.err
	switch {
	case outcome == OutcomeWhole:
		out.Verdict = verdict.Ran
		out.Accepted = true
	case end.refusal != nil:
		out.Verdict = VerdictOf(end.refusal.Verdict)
	case !k.mayHaveLeft:
		out.Verdict = verdict.NotRun
	default:
		out.Verdict = verdict.MayHaveRun
	}
	return out
}

// submission is what to send now: the same request with the time that is left and the tokens received.
func (k *call) submission() *callerapi.Submission {
	out := k.sub
	out.ID = callerapi.NewOptString(k.result.ID)
	out.DeadlineMs = max(time.Until(k.deadline).Milliseconds(), 1)
	out.Generation.Reset()
	out.Received = nil
	if len(k.result.Tokens) > 0 {
		out.Generation = callerapi.NewOptString(k.result.Generation)
		out.Received = k.result.Tokens
	}
	return &out
}
