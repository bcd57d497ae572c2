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

// call is one request in progress. It is used by one goroutine.
type call struct {
	client   *Client
	request  callerapi.Submission
	deadline time.Time
	observer Observer
	result   Result
	// lastTokenTime is when the last token was received.
	lastTokenTime time.Time
	// resuming is true when the next attempt resumes the stream instead of sending the request.
	resuming bool
	// maybeSent is true once any byte of a request with the current ID may have been sent.
	maybeSent   bool
	lastAddress string
	// reportedID is the ID last reported to the observer.
	reportedID string
}

// Send sends sub and retries it until its outcome is known, its deadline passes or
// Options.MaxAttempts is reached. If sub has no ID, one is chosen before the first send.
func (c *Client) Send(ctx context.Context, sub callerapi.Submission, observer Observer) Result {
	k := c.newCall(sub, observer)
	k.result.ID = sub.ID.Or("")
	return k.run(ctx)
}

// Resume reads the stream of the request sub.ID after the tokens in sub.Received,
// which belong to sub.Generation. If sub.Kind is set, the request is sent again
// with the same ID when the site has lost its progress.
func (c *Client) Resume(ctx context.Context, sub callerapi.Submission, observer Observer) Result {
	k := c.newCall(sub, observer)
	k.request.Stream = callerapi.NewOptBool(true)
	k.result.ID = sub.ID.Or("")
	k.result.Generation = sub.Generation.Or("")
	k.result.Tokens = append([]string(nil), sub.Received...)
	k.resuming = true
	k.maybeSent = true
	return k.run(ctx)
}

// newCall returns a call for sub; a nil observer is replaced by a NopObserver.
func (c *Client) newCall(sub callerapi.Submission, observer Observer) *call {
	if observer == nil {
		observer = NopObserver{}
	}
	now := time.Now()
	return &call{
		client:   c,
		request:  sub,
		observer: observer,
		deadline: now.Add(time.Duration(sub.DeadlineMs) * time.Millisecond),
		result:   Result{Started: now},
	}
}

// run makes attempts until the request is complete or refused, or no further attempt is possible.
func (k *call) run(ctx context.Context) Result {
	ctx, cancel := context.WithDeadline(ctx, k.deadline)
	defer cancel()
	for k.result.Attempts < k.client.options.MaxAttempts {
		attempt := k.attempt(ctx)
		if attempt.complete {
			return k.finish(OutcomeComplete, attemptResult{})
		}
		next := k.nextAction(attempt)
		if next == actionGiveUp {
			return k.finish(OutcomeRefused, attempt)
		}
		if !k.prepareRetry(ctx, next, attempt) {
			return k.finish(OutcomeLost, attempt)
		}
	}
	return k.finish(OutcomeLost, attemptResult{err: errors.Newf("no answer after %d attempts", k.result.Attempts)})
}

// attempt sends or resumes the request once.
func (k *call) attempt(ctx context.Context) attemptResult {
	book, err := k.client.Addresses(ctx)
	if err != nil {
		k.result.Attempts++
		return failedAttempt(err)
	}
	if k.result.ID == "" {
		k.result.ID = k.client.newID(book)
		k.maybeSent = false
	}
	k.reportID()
	address := k.pickAddress(book)
	k.result.Attempts++
	k.result.Addresses = append(k.result.Addresses, address)
	k.lastAddress = address
	var attempt attemptResult
	if k.request.Stream.Or(false) {
		attempt = k.stream(ctx, address)
	} else {
		attempt = k.unary(ctx, address)
	}
	if observer, ok := k.observer.(RefusalObserver); ok && attempt.refusal != nil {
		observer.Refused(k.result.ID, *attempt.refusal)
	}
	if attempt.err != nil && attempt.refusal == nil {
		k.recordFailure(ctx, address, attempt.err)
	}
	if attempt.refusal != nil || !failedToDial(attempt.err) {
		k.maybeSent = true
	}
	return attempt
}

// reportID reports a new ID to the observer before anything is sent with it.
func (k *call) reportID() {
	if k.reportedID == k.result.ID {
		return
	}
	k.reportedID = k.result.ID
	if observer, ok := k.observer.(IDObserver); ok {
		observer.IDChosen(k.result.ID)
	}
}

// recordFailure marks address as failed and expires the cached addresses, unless
// the attempt failed because ctx ended.
func (k *call) recordFailure(ctx context.Context, address string, err error) {
	if ctx.Err() != nil && !errors.Is(err, errSilenceTimeout) {
		return
	}
	k.client.markFailed(address)
	k.client.expireAddresses()
}

// pickAddress returns the URL to try: the request's home node if it has not failed
// recently, otherwise another node. It avoids the last URL tried if there is another.
func (k *call) pickAddress(book *callerapi.AddressBook) string {
	home := homeOf(k.result.ID)
	homeFirst := slices.Clone(book.Addresses)
	slices.SortStableFunc(homeFirst, func(a, b callerapi.Address) int {
		return cmp.Compare(homeRank(a, home), homeRank(b, home))
	})
	ordered := k.client.failedLast(homeFirst)
	if len(ordered) > 1 && ordered[0].URL == k.lastAddress {
		return ordered[1].URL
	}
	return ordered[0].URL
}

// homeRank returns 0 for the address of home and 1 for others, so that sorting by it puts home first.
func homeRank(address callerapi.Address, home string) int {
	if homeOf(address.RequestIdPrefix) == home {
		return 0
	}
	return 1
}

// finish returns the result of the call, whose last attempt ended with last.
func (k *call) finish(outcome Outcome, last attemptResult) Result {
	out := k.result
	out.Finished = time.Now()
	out.Outcome = outcome
	out.Refusal = last.refusal
	out.Err = last.err
	switch {
	case outcome == OutcomeComplete:
		out.Verdict = verdict.Ran
		out.Accepted = true
	case last.refusal != nil:
		out.Verdict = VerdictOf(last.refusal.Verdict)
	case !k.maybeSent:
		out.Verdict = verdict.NotRun
	default:
		out.Verdict = verdict.MayHaveRun
	}
	return out
}

// submission returns the request to send now, with the time left until the deadline
// and the tokens received so far.
func (k *call) submission() *callerapi.Submission {
	out := k.request
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
