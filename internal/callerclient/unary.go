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

// unary sends the request and waits for its whole answer. An unstreamed answer
// may rightly take long, so after a while without one another node is asked
// whether the request is known and running; only an unknown one is sent again.
func (k *call) unary(ctx context.Context, address string) attemptEnd {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answered := make(chan unaryEnd, 1)
	body := k.submission()
	go func() { answered <- k.client.post(ctx, address, body) }()
	ticker := time.NewTicker(k.client.options.Silence)
	defer ticker.Stop()
	for {
		select {
		case end := <-answered:
			return k.take(end)
		case <-ticker.C:
		}
		if end, settled := k.askElsewhere(ctx); settled {
			return k.take(end)
		}
	}
}

// unaryEnd is an answer or an error.
type unaryEnd struct {
	answer *callerapi.Answer
	err    error
}

func (c *Client) post(ctx context.Context, address string, sub *callerapi.Submission) unaryEnd {
	answer := new(callerapi.Answer)
	if err := c.doJSON(ctx, http.MethodPost, address+"/v1/requests", sub, answer); err != nil {
		return unaryEnd{err: err}
	}
	if answer.ID != sub.ID.Or("") {
		return unaryEnd{err: errors.Newf("answer to another request: %s", answer.ID)}
	}
	return unaryEnd{answer: answer}
}

func (k *call) take(end unaryEnd) attemptEnd {
	if end.err != nil {
		return endOf(end.err)
	}
	k.result.Output = end.answer.Output
	k.result.Generation = end.answer.Generation
	k.result.Moves = end.answer.Moves
	return attemptEnd{whole: true}
}

// askElsewhere asks another node about the request; it reports true when that settles this attempt.
func (k *call) askElsewhere(ctx context.Context) (unaryEnd, bool) {
	book, err := k.client.Addresses(ctx)
	if err != nil {
		return unaryEnd{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, k.client.options.Silence)
	defer cancel()
	state, err := k.client.fetchAt(ctx, k.pick(book), k.result.ID)
	if err != nil {
		var refused *RefusedError
		if errors.As(err, &refused) && verdict.Code(refused.Refusal.Code) == verdict.CodeUnknownRequest {
			return unaryEnd{err: errors.New("the site does not know the request yet")}, true
		}
		return unaryEnd{}, false
	}
	return settledBy(state)
}

func settledBy(state *callerapi.RequestState) (unaryEnd, bool) {
	if answer, ok := state.Answer.Get(); ok {
		return unaryEnd{answer: &answer}, true
	}
	if refusal, ok := state.Refusal.Get(); ok {
		return unaryEnd{err: &RefusedError{Refusal: refusal}}, true
	}
	return unaryEnd{}, false
}

// Fetch returns the state of a request, asking one node after another.
func (c *Client) Fetch(ctx context.Context, id string) (*callerapi.RequestState, error) {
	return c.state(ctx, http.MethodGet, id)
}

// Cancel cancels a request, asking one node after another. Cancelling twice is harmless.
func (c *Client) Cancel(ctx context.Context, id string) (*callerapi.RequestState, error) {
	return c.state(ctx, http.MethodDelete, id)
}

func (c *Client) state(ctx context.Context, method, id string) (*callerapi.RequestState, error) {
	book, err := c.Addresses(ctx)
	if err != nil {
		return nil, err
	}
	for _, address := range c.askingOrder(book) {
		var state *callerapi.RequestState
		state, err = c.stateAt(ctx, method, address.URL, id)
		if err == nil {
			return state, nil
		}
		var refused *RefusedError
		if errors.As(err, &refused) && !elsewhere[verdict.Code(refused.Refusal.Code)] {
			return nil, err
		}
		c.avoid(address.URL)
	}
	return nil, err
}

func (c *Client) fetchAt(ctx context.Context, address, id string) (*callerapi.RequestState, error) {
	return c.stateAt(ctx, http.MethodGet, address, id)
}

func (c *Client) stateAt(ctx context.Context, method, address, id string) (*callerapi.RequestState, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Silence)
	defer cancel()
	state := new(callerapi.RequestState)
	if err := c.doJSON(ctx, method, address+"/v1/requests/"+url.PathEscape(id), nil, state); err != nil {
		return nil, err
	}
	return state, nil
}
