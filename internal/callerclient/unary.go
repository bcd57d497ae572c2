package callerclient

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/api/callerapi"
	"mangoledge.example/mangoledge/internal/verdict"
)

// unary sends the request and waits for its complete answer. Since an answer may take
// long, another node is asked for the request's state at intervals of Options.SilenceTimeout;
// the request is sent again only if that node does not know it.
func (k *call) unary(ctx context.Context, address string) attemptResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan unaryResult, 1)
	body := k.submission()
	go func() { results <- k.client.post(ctx, address, body) }()
	ticker := time.NewTicker(k.client.options.SilenceTimeout)
	defer ticker.Stop()
	for {
		select {
		case response := <-results:
			return k.handleUnaryResult(response)
		case <-ticker.C:
		}
		if response, done := k.queryOtherNode(ctx); done {
			return k.handleUnaryResult(response)
		}
	}
}

// unaryResult is the answer to an unstreamed request, or an error.
type unaryResult struct {
	answer *callerapi.Answer
	err    error
}

// post sends an unstreamed request to the node at address.
func (c *Client) post(ctx context.Context, address string, sub *callerapi.Submission) unaryResult {
	answer := new(callerapi.Answer)
	if err := c.doJSON(ctx, http.MethodPost, address+"/v1/requests", sub, answer); err != nil {
		return unaryResult{err: err}
	}
	if answer.ID != sub.ID.Or("") {
		return unaryResult{err: errors.Newf("answer to another request: %s", answer.ID)}
	}
	return unaryResult{answer: answer}
}

// handleUnaryResult stores an answer in the call's result and returns how the attempt ended.
func (k *call) handleUnaryResult(response unaryResult) attemptResult {
	if response.err != nil {
		return failedAttempt(response.err)
	}
	k.result.Output = response.answer.Output
	k.result.Generation = response.answer.Generation
	k.result.Moves = response.answer.Moves
	return attemptResult{complete: true}
}

// queryOtherNode asks another node for the state of the request. It reports whether
// that ends the attempt, with its result.
func (k *call) queryOtherNode(ctx context.Context) (unaryResult, bool) {
	book, err := k.client.Addresses(ctx)
	if err != nil {
		return unaryResult{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, k.client.options.SilenceTimeout)
	defer cancel()
	state, err := k.client.fetchFrom(ctx, k.pickAddress(book), k.result.ID)
	if err != nil {
		var refused *RefusedError
		if errors.As(err, &refused) && verdict.Code(refused.Refusal.Code) == verdict.CodeUnknownRequest {
			return unaryResult{err: errors.New("the site does not know the request yet")}, true
		}
		return unaryResult{}, false
	}
	return unaryResultOf(state)
}

// unaryResultOf returns the answer or refusal in state; it reports false if there is neither.
func unaryResultOf(state *callerapi.RequestState) (unaryResult, bool) {
	if answer, ok := state.Answer.Get(); ok {
		return unaryResult{answer: &answer}, true
	}
	if refusal, ok := state.Refusal.Get(); ok {
		return unaryResult{err: &RefusedError{Refusal: refusal}}, true
	}
	return unaryResult{}, false
}

// Fetch returns the state of a request. It asks one node after another until one answers.
func (c *Client) Fetch(ctx context.Context, id string) (*callerapi.RequestState, error) {
	return c.requestState(ctx, http.MethodGet, id)
}

// Cancel cancels a request, trying one node after another, and returns its state. It
// may be called again for a cancelled request.
func (c *Client) Cancel(ctx context.Context, id string) (*callerapi.RequestState, error) {
	return c.requestState(ctx, http.MethodDelete, id)
}

// requestState calls one node after another until one answers with the request's
// state or with a refusal that does not concern the node alone.
func (c *Client) requestState(ctx context.Context, method, id string) (*callerapi.RequestState, error) {
	book, err := c.Addresses(ctx)
	if err != nil {
		return nil, err
	}
	for _, address := range c.queryOrder(book) {
		var state *callerapi.RequestState
		state, err = c.requestStateFrom(ctx, method, address.URL, id)
		if err == nil {
			return state, nil
		}
		var refused *RefusedError
		if errors.As(err, &refused) && !nodeSpecificCodes[verdict.Code(refused.Refusal.Code)] {
			return nil, err
		}
		c.markFailed(address.URL)
	}
	return nil, err
}

// fetchFrom returns the state of a request from the node at address.
func (c *Client) fetchFrom(ctx context.Context, address, id string) (*callerapi.RequestState, error) {
	return c.requestStateFrom(ctx, http.MethodGet, address, id)
}

// requestStateFrom calls the node at address with method, GET or DELETE, and returns the request's state.
func (c *Client) requestStateFrom(ctx context.Context, method, address, id string) (*callerapi.RequestState, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.SilenceTimeout)
	defer cancel()
	state := new(callerapi.RequestState)
	if err := c.doJSON(ctx, method, address+"/v1/requests/"+url.PathEscape(id), nil, state); err != nil {
		return nil, err
	}
	return state, nil
}
