package figures

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/api/callerapi"
	"mangoledge.example/mangoledge/internal/engine"
	"mangoledge.example/mangoledge/internal/sse"
	"mangoledge.example/mangoledge/internal/testbed"
)

// prompt is the prompt of every measured request.
const prompt = "a prompt of a few words"

// streamTiming holds the times of a stream as its reader sees them: from the request to
// the first token, and between tokens.
type streamTiming struct {
	first time.Duration
	gaps  []time.Duration
}

// streamDirectly runs a stream at one of the engines, without a node.
func (s *site) streamDirectly(ctx context.Context, tokens int) (streamTiming, error) {
	body, err := json.Marshal(engine.Completion{
		RequestID: rand.Text(), Model: model, Prompt: prompt, Generation: "direct", MaxTokens: tokens, Stream: true,
	})
	if err != nil {
		return streamTiming{}, err
	}
	target := s.engines[int(body[len(body)/2])%len(s.engines)]
	return readStream(ctx, target.Upstream.URL+"/v1/completions", "", body, "")
}

// streamThroughNode runs a stream through the measured node.
func (s *site) streamThroughNode(ctx context.Context, tokens int) (streamTiming, error) {
	sub := callerapi.Submission{
		ID:         callerapi.NewOptString(s.prefix + strings.ToLower(rand.Text())),
		Kind:       "measure",
		Model:      callerapi.NewOptString(string(model)),
		Input:      prompt,
		MaxTokens:  callerapi.NewOptInt(tokens),
		DeadlineMs: time.Minute.Milliseconds(),
		Stream:     callerapi.NewOptBool(true),
	}
	body, err := sub.MarshalJSON()
	if err != nil {
		return streamTiming{}, err
	}
	return readStream(ctx, s.node.Settings.CallerURL+"/v1/requests", testbed.CallerToken(workspace), body, "token")
}

// httpClient keeps idle connections for all streams of a measurement.
var httpClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}

// readStream posts body and times the events called name until the stream ends.
func readStream(ctx context.Context, url, token string, body []byte, name string) (streamTiming, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return streamTiming{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	started := time.Now()
	resp, err := httpClient.Do(req)
	if err != nil {
		return streamTiming{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return streamTiming{}, errors.Newf("%s: %s", url, resp.Status)
	}
	return readEvents(sse.NewReader(resp.Body), started, name)
}

// readEvents times the events called name until the stream ends; started is when the
// request was sent.
func readEvents(reader *sse.Reader, started time.Time, name string) (streamTiming, error) {
	var out streamTiming
	last := started
	for {
		event, err := reader.Next()
		if err != nil {
			return out, errors.Wrap(err, "the stream ended early")
		}
		if event.Name == "done" || bytes.Contains(event.Data, []byte(`"done":true`)) {
			return out, nil
		}
		if event.Name == "error" {
			return out, errors.Newf("refused: %s", event.Data)
		}
		if event.Comment || event.Name != name {
			continue
		}
		now := time.Now()
		if out.first == 0 {
			out.first = now.Sub(started)
		} else {
			out.gaps = append(out.gaps, now.Sub(last))
		}
		last = now
	}
}
