package callerclient

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/sse"
)

// The names of the events of a stream.
const (
	eventAccepted = "accepted"
	eventToken    = "token"
	eventMoved    = "moved"
	eventDone     = "done"
	eventError    = "error"
)

// acceptedData is the data of an "accepted" event.
type acceptedData struct {
	ID         string `json:"id"`
	Generation string `json:"generation"`
	// Offset is the number of the caller's tokens after which the generation
	// continues; a node that sets it has checked that it may continue there.
	Offset *int `json:"offset"`
}

// tokenData is the data of a "token" event.
type tokenData struct {
	Offset int    `json:"offset"`
	Text   string `json:"text"`
}

// doneData is the data of a "done" event.
type doneData struct {
	Tokens int `json:"tokens"`
	Moves  int `json:"moves"`
	// Output is the response of a plain service, which has no tokens.
	Output string `json:"output"`
}

// stream sends or resumes the request and reads events until the last one.
func (k *call) stream(ctx context.Context, address string) attemptResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	headerTimer := time.AfterFunc(k.client.options.SilenceTimeout, cancel)
	resp, err := k.openStream(ctx, address)
	if !headerTimer.Stop() && err != nil {
		err = errors.Mark(errors.Wrap(err, "no answer"), errSilenceTimeout)
	}
	if err != nil {
		return failedAttempt(err)
	}
	defer func() { _ = resp.Body.Close() }()
	reader := newEventReader(resp.Body, k.client.options.SilenceTimeout, cancel)
	defer reader.stop()
	for {
		next, err := reader.next()
		if err != nil {
			return failedAttempt(err)
		}
		attempt, last := k.handleEvent(next)
		if last {
			return attempt
		}
	}
}

// openStream sends the request, or asks to resume its stream after the tokens received.
func (k *call) openStream(ctx context.Context, address string) (*http.Response, error) {
	const accept = "text/event-stream"
	if !k.resuming {
		return k.client.do(ctx, http.MethodPost, address+"/v1/requests", k.submission(), accept)
	}
	query := url.Values{"offset": {strconv.Itoa(len(k.result.Tokens))}}
	if k.result.Generation != "" {
		query.Set("generation", k.result.Generation)
	}
	path := address + "/v1/requests/" + url.PathEscape(k.result.ID) + "/stream?" + query.Encode()
	return k.client.do(ctx, http.MethodGet, path, nil, accept)
}

// handleEvent handles one event. It reports whether the attempt ends with it, and how.
// Events with other names are ignored.
func (k *call) handleEvent(event sse.Event) (attemptResult, bool) {
	switch event.Name {
	case eventAccepted:
		return k.handleAccepted(event.Data)
	case eventToken:
		return k.handleToken(event.Data)
	case eventMoved:
		return attemptResult{err: errMoved}, true
	case eventDone:
		return k.handleDone(event.Data), true
	case eventError:
		return handleError(event.Data), true
	}
	return attemptResult{}, false
}

// handleAccepted handles an "accepted" event. It ends the attempt if the stream is of
// another request, or of a generation that does not continue the tokens received.
func (k *call) handleAccepted(data []byte) (attemptResult, bool) {
	var in acceptedData
	if err := json.Unmarshal(data, &in); err != nil {
		return failedAttempt(errors.Wrap(err, "event accepted")), true
	}
	if in.ID != "" && in.ID != k.result.ID {
		return failedAttempt(errors.Newf("stream of another request: %s", in.ID)), true
	}
	k.result.Accepted = true
	continues := in.Offset != nil && *in.Offset == len(k.result.Tokens)
	if len(k.result.Tokens) > 0 && in.Generation != k.result.Generation && !continues {
		k.restart()
		return failedAttempt(errors.New("the generation has changed")), true
	}
	k.result.Generation = in.Generation
	k.resuming = true
	return attemptResult{}, false
}

// handleToken handles a "token" event. It ignores a token already received and ends
// the attempt if a token is missing or was received before with different text.
func (k *call) handleToken(data []byte) (attemptResult, bool) {
	var in tokenData
	if err := json.Unmarshal(data, &in); err != nil {
		return failedAttempt(errors.Wrap(err, "event token")), true
	}
	have := len(k.result.Tokens)
	if in.Offset > have {
		return failedAttempt(errors.Newf("token %d received after only %d tokens", in.Offset, have)), true
	}
	if in.Offset < have {
		if k.result.Tokens[in.Offset] != in.Text {
			return failedAttempt(errors.Newf("token %d received twice with different text", in.Offset)), true
		}
		return attemptResult{}, false
	}
	k.appendToken(in.Text)
	return attemptResult{}, false
}

// appendToken adds a token to the result, with its timing, and reports it to the observer.
func (k *call) appendToken(text string) {
	now := time.Now()
	if k.result.FirstToken.IsZero() {
		k.result.FirstToken = now
	} else if !k.lastTokenTime.IsZero() {
		k.result.Gaps = append(k.result.Gaps, now.Sub(k.lastTokenTime))
	}
	k.lastTokenTime = now
	k.result.Tokens = append(k.result.Tokens, text)
	k.observer.Token(len(k.result.Tokens)-1, text)
}

// handleDone handles a "done" event. The answer is complete only if all its tokens were received.
func (k *call) handleDone(data []byte) attemptResult {
	var in doneData
	if err := json.Unmarshal(data, &in); err != nil {
		return failedAttempt(errors.Wrap(err, "event done"))
	}
	if in.Tokens != len(k.result.Tokens) {
		return failedAttempt(errors.Newf("received %d of %d tokens", len(k.result.Tokens), in.Tokens))
	}
	k.result.Moves = in.Moves
	k.result.Output = strings.Join(k.result.Tokens, "") + in.Output
	return attemptResult{complete: true}
}

// handleError returns the refusal in an "error" event.
func handleError(data []byte) attemptResult {
	refused := new(RefusedError)
	if err := refused.Refusal.UnmarshalJSON(data); err != nil {
		return failedAttempt(errors.Wrap(err, "event error"))
	}
	return failedAttempt(refused)
}
