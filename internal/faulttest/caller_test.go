package faulttest

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/api/callerapi"
	"mangoledge.example/mangoledge/internal/callerclient"
	"mangoledge.example/mangoledge/internal/historycheck"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/verdict"
)

const (
	// callDeadline is the deadline of a caller's request.
	callDeadline = 30 * time.Second
	// streamTokens is the length of a stream.
	streamTokens = 100
	// moved is what the caller's client says of a stream whose node leaves.
	moved = "the node leaves"
)

// chatCall is an idempotent stream.
func chatCall(input string) callerapi.Submission {
	return callerapi.Submission{
		Kind: "chat", Input: input, Model: callerapi.NewOptString(model), DeadlineMs: callDeadline.Milliseconds(),
		MaxTokens: callerapi.NewOptInt(streamTokens), Idempotent: callerapi.NewOptBool(true), Stream: callerapi.NewOptBool(true),
	}
}

// holdCall is a call of a plain service that must not be repeated.
func holdCall(input string) callerapi.Submission {
	return callerapi.Submission{
		Kind: "dock-hold", Input: input, Service: callerapi.NewOptString(plainService), DeadlineMs: callDeadline.Milliseconds(),
		Idempotent: callerapi.NewOptBool(false),
	}
}

// recorder writes down what a caller is told.
type recorder struct {
	mu    sync.Mutex
	call  historycheck.Call
	token func(offset int)
}

// Token is told each token.
func (r *recorder) Token(offset int, text string) {
	r.mu.Lock()
	r.call.Tokens = append(r.call.Tokens[:min(offset, len(r.call.Tokens))], text)
	r.mu.Unlock()
	if r.token != nil {
		r.token(offset)
	}
}

// Restart is told that the tokens are void.
func (r *recorder) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.call.Tokens = nil
}

// Retry is told why the request is sent again.
func (r *recorder) Retry(address string, reason error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var refused *callerclient.RefusedError
	if reason == nil || errors.As(reason, &refused) || strings.Contains(reason.Error(), moved) {
		return
	}
	r.call.Losses = append(r.call.Losses, historycheck.Loss{Address: address, At: time.Now()})
}

// Refused is told each refusal.
func (r *recorder) Refused(id string, refusal callerapi.Refusal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused(id, refusal)
}

func (r *recorder) refused(id string, refusal callerapi.Refusal) {
	r.call.IDs = append(r.call.IDs, id)
	r.call.Refusals = append(r.call.Refusals, historycheck.Refusal{ID: id, Verdict: verdictOf(refusal.Verdict), At: time.Now()})
}

func verdictOf(text callerapi.RefusalVerdict) verdict.Verdict {
	switch text {
	case callerapi.RefusalVerdictNotRun:
		return verdict.NotRun
	case callerapi.RefusalVerdictRan:
		return verdict.Ran
	case callerapi.RefusalVerdictMayHaveRun:
	}
	return verdict.MayHaveRun
}

func newRecorder(sub *callerapi.Submission) *recorder {
	return &recorder{call: historycheck.Call{
		Name:       sub.Kind + " " + sub.Input,
		Input:      sub.Input,
		Service:    sub.Service.Set,
		Idempotent: sub.Idempotent.Or(true),
		MaxTokens:  sub.MaxTokens.Or(0),
		Started:    time.Now(),
		Deadline:   time.Now().Add(time.Duration(sub.DeadlineMs) * time.Millisecond),
	}}
}

// keep adds a finished call to the site's history.
func (s *site) keep(call historycheck.Call) historycheck.Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, call)
	return call
}

// newCaller returns a caller's client that knows all nodes as seeds.
func (s *site) newCaller() *callerclient.Client {
	var seeds []string
	for _, n := range s.nodes {
		seeds = append(seeds, "http://"+n.callers.address)
	}
	return callerclient.New(callerclient.Options{Seeds: seeds, Token: callerToken})
}

// send sends a request as a caller does, resends and all; token is called at each token and may be nil.
func (s *site) send(client *callerclient.Client, sub callerapi.Submission, token func(offset int)) historycheck.Call {
	r := newRecorder(&sub)
	r.token = token
	result := client.Send(s.t.Context(), sub, r)
	r.mu.Lock()
	defer r.mu.Unlock()
	if result.ID != "" {
		r.call.IDs = append(r.call.IDs, result.ID)
	}
	r.call.IDs = unique(r.call.IDs)
	r.call.Accepted = result.Accepted
	r.call.Whole = result.Outcome == callerclient.OutcomeWhole
	r.call.Output = result.Output
	r.call.Finished = time.Now()
	if !r.call.Whole {
		s.t.Logf("%s: %s after %d attempts at %v with %d tokens: %v", r.call.Name, result.Outcome, result.Attempts, result.Addresses, len(result.Tokens), result.Err)
	}
	return s.keep(r.call)
}

func unique(ids []string) []string {
	var out []string
	seen := make(map[string]bool)
	for _, id := range ids {
		if !seen[id] {
			seen[id] = true
			out = append(out, id)
		}
	}
	return out
}

// newID makes a request ID whose home and witness are the given nodes.
func (s *site) newID(home, witness *node) string {
	return ident.NewRequestID(s.incarnation(home), s.incarnation(witness)).String()
}

// dump is the part of a node's dump that the harness reads.
type dump struct {
	Self struct{ Incarnation ident.Incarnation }
}

// incarnation asks a node, past its links, for its incarnation.
func (s *site) incarnation(n *node) ident.Incarnation {
	var out dump
	s.eventually("dump of "+n.name, func() bool {
		return s.readDump(n, &out) && out.Self.Incarnation != ""
	})
	return out.Self.Incarnation
}

// readDump reads the dump of a node, past its links, into out.
func (s *site) readDump(n *node, out any) bool {
	req, err := http.NewRequestWithContext(s.t.Context(), http.MethodGet, "http://"+n.settings.OperatorListen+"/v1/dump", nil)
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	resp, err := shortClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(out) == nil
}

// sendTo sends a request once to one node, unstreamed, and waits for the answer.
func (s *site) sendTo(n *node, sub callerapi.Submission) historycheck.Call {
	sub.Stream.Reset()
	r := newRecorder(&sub)
	ctx, cancel := context.WithTimeout(s.t.Context(), callDeadline)
	defer cancel()
	s.post(ctx, n, &sub, r)
	r.call.Finished = time.Now()
	return s.keep(r.call)
}

func (s *site) post(ctx context.Context, n *node, sub *callerapi.Submission, r *recorder) {
	id := sub.ID.Or("")
	if id != "" {
		r.call.IDs = []string{id}
	}
	data, err := json.Marshal(sub)
	if err != nil {
		s.t.Error(err)
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.callers.address+"/v1/requests", bytes.NewReader(data))
	if err != nil {
		s.t.Error(err)
		return
	}
	req.Header.Set("Authorization", "Bearer "+callerToken)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		r.call.Losses = append(r.call.Losses, historycheck.Loss{Address: n.settings.CallerURL, At: time.Now()})
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		var refusal callerapi.Refusal
		if json.NewDecoder(resp.Body).Decode(&refusal) == nil {
			r.refused(id, refusal)
		}
		return
	}
	var answer callerapi.Answer
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return
	}
	r.call.Accepted = true
	r.call.Whole = true
	r.call.Output = answer.Output
}
