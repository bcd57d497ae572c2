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

// acceptedData is the data of the event accepted.
type acceptedData struct {
	ID         string `json:"id"`
	Generation string `json:"generation"`
	// Offset is the number of the caller's tokens that the generation goes on
	// behind; a node that names it has checked that it may.
	Offset *int `json:"offset"`
}

// tokenData is the data of the event token.
type tokenData struct {
	Offset int    `json:"offset"`
	Text   string `json:"text"`
}

// doneData is the data of the event done.
type doneData struct {
	Tokens int `json:"tokens"`
	Moves  int `json:"moves"`
	// Output is the reply of a plain service, which has no tokens.
	Output string `json:"output"`
}

// stream sends or resumes the request and reads events until the last one.
func (k *call) stream(ctx context.Context, address string) attemptEnd {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	headerWatch := time.AfterFunc(k.client.options.Silence, cancel)
	resp, err := k.open(ctx, address)
	if !headerWatch.Stop() && err != nil {
		err = errors.Mark(errors.Wrap(err, "no answer"), errSilent)
	}
	if err != nil {
		return endOf(err)
	}
	defer func() { _ = resp.Body.Close() }()
	reader := newEventReader(resp.Body, k.client.options.Silence, cancel)
	defer reader.stop()
	for {
		next, err := reader.next()
		if err != nil {
			return endOf(err)
		}
		end, last := k.takeEvent(next)
		if last {
			return end
		}
	}
}

func (k *call) open(ctx context.Context, address string) (*http.Response, error) {
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

// takeEvent takes one event in; it reports true when the attempt ends with it.
func (k *call) takeEvent(next sse.Event) (attemptEnd, bool) {
	switch next.Name {
	case eventAccepted:
		return k.takeAccepted(next.Data)
	case eventToken:
		return k.takeToken(next.Data)
	case eventMoved:
		return attemptEnd{err: errMoved}, true
	case eventDone:
		return k.takeDone(next.Data), true
	case eventError:
		return takeError(next.Data), true
	}
	return attemptEnd{}, false
}

func (k *call) takeAccepted(data []byte) (attemptEnd, bool) {
	var in acceptedData
	if err := json.Unmarshal(data, &in); err != nil {
		return endOf(errors.Wrap(err, "event accepted")), true
	}
	if in.ID != "" && in.ID != k.result.ID {
		return endOf(errors.Newf("stream of another request: %s", in.ID)), true
	}
	k.result.Accepted = true
	goesOn := in.Offset != nil && *in.Offset == len(k.result.Tokens)
	if len(k.result.Tokens) > 0 && in.Generation != k.result.Generation && !goesOn {
		k.restart()
		return endOf(errors.New("the generation has changed")), true
	}
	k.result.Generation = in.Generation
	k.resuming = true
	return attemptEnd{}, false
}

func (k *call) takeToken(data []byte) (attemptEnd, bool) {
	var in tokenData
	if err := json.Unmarshal(data, &in); err != nil {
		return endOf(errors.Wrap(err, "event token")), true
	}
	have := len(k.result.Tokens)
	if in.Offset > have {
		return endOf(errors.Newf("token %d came behind %d tokens", in.Offset, have)), true
	}
	if in.Offset < have {
		if k.result.Tokens[in.Offset] != in.Text {
			return endOf(errors.Newf("token %d came twice with different text", in.Offset)), true
		}
		return attemptEnd{}, false
	}
	k.noteToken(in.Text)
	return attemptEnd{}, false
}

func (k *call) noteToken(text string) {
	now := time.Now()
	if k.result.FirstToken.IsZero() {
		k.result.FirstToken = now
	} else if !k.lastToken.IsZero() {
		k.result.Gaps = append(k.result.Gaps, now.Sub(k.lastToken))
	}
	k.lastToken = now
	k.result.Tokens = append(k.result.Tokens, text)
	k.observer.Token(len(k.result.Tokens)-1, text)
}

func (k *call) takeDone(data []byte) attemptEnd {
	var in doneData
	if err := json.Unmarshal(data, &in); err != nil {
		return endOf(errors.Wrap(err, "event done"))
	}
	if in.Tokens != len(k.result.Tokens) {
		return endOf(errors.Newf("%d tokens received of %d", len(k.result.Tokens), in.Tokens))
	}
	k.result.Moves = in.Moves
	k.result.Output = strings.Join(k.result.Tokens, "") + in.Output
	return attemptEnd{whole: true}
}

func takeError(data []byte) attemptEnd {
	refused := new(RefusedError)
	if err := refused.Refusal.UnmarshalJSON(data); err != nil {
		return endOf(errors.Wrap(err, "event error"))
	}
	return endOf(refused)
}
