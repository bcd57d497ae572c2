package callerclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/api/callerapi"
	"mangoledge.example/mangoledge/internal/bounded"
)

// maxAnswerBytes bounds an answer that is read whole.
const maxAnswerBytes = 64 << 20

// RefusedError is a refusal by a node.
type RefusedError struct {
	// Status is the HTTP status code.
	Status int
	// Refusal is what the node said.
	Refusal callerapi.Refusal
}

// Error returns the node's message.
func (e *RefusedError) Error() string {
	return e.Refusal.Message + " (" + e.Refusal.Code + ", " + string(e.Refusal.Verdict) + ")"
}

// do sends one HTTP request; a status other than 200 becomes an error.
func (c *Client) do(ctx context.Context, method, url string, body json.Marshaler, accept string) (*http.Response, error) {
	var reader io.Reader
	if body != nil {
		data, err := body.MarshalJSON()
		if err != nil {
			return nil, err
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return nil, err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	req.Header.Set("Accept", accept)
	req.Header.Set("Authorization", "Bearer "+c.options.Token)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	return nil, readRefusal(resp)
}

func (c *Client) doJSON(ctx context.Context, method, url string, body json.Marshaler, out json.Unmarshaler) error {
	resp, err := c.do(ctx, method, url, body, "application/json")
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := bounded.ReadAll(resp.Body, maxAnswerBytes)
	if err != nil {
		return err
	}
	return out.UnmarshalJSON(data)
}

func readRefusal(resp *http.Response) error {
	data, err := bounded.ReadAll(resp.Body, maxAnswerBytes)
	if err != nil {
		return err
	}
	out := &RefusedError{Status: resp.StatusCode}
	if err := out.Refusal.UnmarshalJSON(data); err != nil {
		return errors.Newf("HTTP status %s without a verdict", resp.Status)
	}
	return out
}

// neverSent reports whether err says that no byte of the request left this process.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
