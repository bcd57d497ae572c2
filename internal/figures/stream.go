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

// prompt is what every measured request asks.
const prompt = "a prompt of a few words"

// timing is one stream as its reader saw it.
type timing struct {
	first time.Duration
	gaps  []time.Duration
}

// direct runs a stream at an engine without a node.
func (s *site) direct(ctx context.Context, tokens int) (timing, error) {
	body, err := json.Marshal(engine.Completion{
		RequestID: rand.Text(), Model: model, Prompt: prompt, Generation: "direct", MaxTokens: tokens, Stream: true,
	})
	if err != nil {
		return timing{}, err
	}
	target := s.engines[int(body[len(body)/2])%len(s.engines)]
	return read(ctx, target.Upstream.URL+"/v1/completions", "", body, "")
}

// through runs a stream through the measured node.
func (s *site) through(ctx context.Context, tokens int) (timing, error) {
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
		return timing{}, err
	}
	return read(ctx, s.node.Settings.CallerURL+"/v1/requests", testbed.CallerToken(workspace), body, "token")
}

// pool keeps connections for all streams of a measurement.
var pool = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}}

// read posts body and times the events named name until the stream ends.
func read(ctx context.Context, url, token string, body []byte, name string) (timing, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return timing{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	started := time.Now()
	resp, err := pool.Do(req)
	if err != nil {
		return timing{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return timing{}, errors.Newf("%s: %s", url, resp.Status)
	}
	return readEvents(sse.NewReader(resp.Body), started, name)
}

func readEvents(reader *sse.Reader, started time.Time, name string) (timing, error) {
	var out timing
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
