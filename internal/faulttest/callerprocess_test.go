package faulttest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/api/callerapi"
	"mangoledge.example/mangoledge/internal/callerclient"
	"mangoledge.example/mangoledge/internal/verdict"
)

// nodeLeavesText is part of the text of callerclient's errMoved, which the caller's client
// reports when a stream moves because its node leaves; that is not recorded as a lost connection.
const nodeLeavesText = "the node leaves"

// callerOptions are the options of a caller's process.
type callerOptions struct {
	// Seeds are base URLs of nodes.
	Seeds []string
	Token string
	// Journal is the path of its journal. Unfinished requests in it are resent at the start.
	Journal string
}

// callerOrder orders a caller to send a request. It is one line of JSON on standard input.
type callerOrder struct {
	// Call numbers the requests of one caller.
	Call       int
	Submission *callerapi.Submission
	// To is the base URL of the only node to send it to, once; empty for a call with resends.
	To string
}

// callerProcess is a caller that runs in a process of its own and sends the requests that
// it is ordered to send.
type callerProcess struct {
	options callerOptions
	client  *callerclient.Client
	journal journal
}

// runCaller resends the unfinished requests of the journal and executes the orders on
// standard input until it ends.
func runCaller(ctx context.Context, options callerOptions) error {
	unfinished, err := unfinishedCalls(options.Journal)
	if err != nil {
		return err
	}
	file, err := os.OpenFile(options.Journal, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	p := &callerProcess{
		options: options,
		client:  callerclient.New(callerclient.Options{Seeds: options.Seeds, Token: options.Token}),
		journal: journal{file: file},
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, c := range unfinished {
		go p.resend(ctx, c)
	}
	return p.serve(ctx, os.Stdin)
}

// unfinishedCalls returns the requests of an earlier run of the process that have no outcome.
func unfinishedCalls(path string) ([]*callState, error) {
	entries, err := readJournal(path)
	if err != nil {
		return nil, err
	}
	calls := make(map[int]*callState)
	for i := range entries {
		number := entries[i].Call
		if calls[number] == nil {
			calls[number] = &callState{}
		}
		calls[number].apply(&entries[i])
	}
	var out []*callState
	for _, c := range calls {
		if !c.ended {
			out = append(out, c)
		}
	}
	return out, nil
}

// serve executes each order in a goroutine of its own until orders ends. An order is in the
// journal before it is executed.
func (p *callerProcess) serve(ctx context.Context, orders io.Reader) error {
	decoder := json.NewDecoder(orders)
	for {
		var order callerOrder
		if err := decoder.Decode(&order); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		p.journal.write(&journalEntry{Call: order.Call, Event: eventBegin, Submission: order.Submission, To: order.To})
		go p.call(ctx, &order)
	}
}

// resend sends an unfinished request again under its last ID in the journal, with the time
// left until its deadline.
func (p *callerProcess) resend(ctx context.Context, c *callState) {
	p.journal.write(&journalEntry{Call: c.order.Call, Event: eventResend})
	sub := *c.order.Submission
	if n := len(c.call.IDs); n > 0 {
		sub.ID = callerapi.NewOptString(c.call.IDs[n-1])
	}
	sub.DeadlineMs = max(time.Until(c.call.Deadline).Milliseconds(), 1)
	p.call(ctx, &callerOrder{Call: c.order.Call, Submission: &sub, To: c.order.To})
}

// call sends one request and records its outcome in the journal.
func (p *callerProcess) call(ctx context.Context, order *callerOrder) {
	r := &recorder{journal: &p.journal, call: order.Call}
	if order.To != "" {
		r.end(p.sendOnce(ctx, order, r))
		return
	}
	result := p.client.Send(ctx, *order.Submission, r)
	r.end(&journalEntry{
		Accepted: result.Accepted,
		Whole:    result.Outcome == callerclient.OutcomeComplete,
		Output:   result.Output,
		Verdict:  result.Verdict,
		Outcome:  fmt.Sprintf("%s, %s, after %d attempts at %v with %d tokens: %v", result.Outcome, result.Verdict, result.Attempts, result.Addresses, len(result.Tokens), result.Err),
	})
}

// sendOnce sends a request once to one node and returns the journal entry of its outcome.
func (p *callerProcess) sendOnce(ctx context.Context, order *callerOrder, r *recorder) *journalEntry {
	sub := order.Submission
	r.IDChosen(sub.ID.Or(""))
	ctx, cancel := context.WithTimeout(ctx, time.Duration(sub.DeadlineMs)*time.Millisecond)
	defer cancel()
	lost := &journalEntry{Verdict: verdict.MayHaveRun, Outcome: "lost"}
	resp, err := p.postSubmission(ctx, order)
	if err != nil {
		r.Retry(order.To, err)
		return lost
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusOK {
		var answer callerapi.Answer
		if json.NewDecoder(resp.Body).Decode(&answer) != nil {
			return lost
		}
		return &journalEntry{Accepted: true, Whole: true, Verdict: verdict.Ran, Output: answer.Output}
	}
	var refusal callerapi.Refusal
	if json.NewDecoder(resp.Body).Decode(&refusal) != nil {
		return lost
	}
	r.Refused(sub.ID.Or(""), refusal)
	return &journalEntry{Verdict: callerclient.VerdictOf(refusal.Verdict), Outcome: "refused: " + refusal.Message}
}

// postSubmission posts the submission of an order to its node.
func (p *callerProcess) postSubmission(ctx context.Context, order *callerOrder) (*http.Response, error) {
	data, err := json.Marshal(order.Submission)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, order.To+"/v1/requests", bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+p.options.Token)
	req.Header.Set("Content-Type", "application/json")
	return http.DefaultClient.Do(req)
}

// recorder records in the journal what a caller's client reports about one request. It
// implements the observer interfaces of callerclient.
type recorder struct {
	journal *journal
	call    int
	// mu is held while an entry is written, so that entries are written one at a time.
	mu sync.Mutex
}

// write writes an entry of this request to the journal.
func (r *recorder) write(entry *journalEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry.Call = r.call
	r.journal.write(entry)
}

// end records the outcome of the request.
func (r *recorder) end(entry *journalEntry) {
	entry.Event = eventEnd
	r.write(entry)
}

// IDChosen records an ID before the request is first sent under it.
func (r *recorder) IDChosen(id string) {
	r.write(&journalEntry{Event: eventID, ID: id})
}

// Token records a token.
func (r *recorder) Token(offset int, text string) {
	r.write(&journalEntry{Event: eventToken, Offset: offset, Text: text})
}

// Restart records that the tokens received so far are invalid.
func (r *recorder) Restart() {
	r.write(&journalEntry{Event: eventRestart})
}

// Retry records a lost connection, unless the request is resent because of a refusal or
// because the node leaves.
func (r *recorder) Retry(address string, reason error) {
	var refused *callerclient.RefusedError
	if reason == nil || errors.As(reason, &refused) || strings.Contains(reason.Error(), nodeLeavesText) {
		return
	}
	r.write(&journalEntry{Event: eventLoss, Address: address})
}

// Refused records a refusal.
func (r *recorder) Refused(id string, refusal callerapi.Refusal) {
	r.write(&journalEntry{Event: eventRefused, ID: id, Verdict: callerclient.VerdictOf(refusal.Verdict)})
}
