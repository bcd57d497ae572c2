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

// maxResponseBytes is the largest body of a response that is not a stream.
const maxResponseBytes = 64 << 20

// RefusedError is a refusal by a node.
type RefusedError struct {
	// Status is the HTTP status code.
	Status int
	// Refusal is the body of the response.
	Refusal callerapi.Refusal
}

// Error returns the node's message with the code and the verdict.
func (e *RefusedError) Error() string {
	return e.Refusal.Message + " (" + e.Refusal.Code + ", " + string(e.Refusal.Verdict) + ")"
}

// do sends one HTTP request. A status other than 200 is returned as an error, which
// is a *RefusedError if the node sent a refusal.
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

// doJSON sends one HTTP request and decodes the JSON response into out.
func (c *Client) doJSON(ctx context.Context, method, url string, body json.Marshaler, out json.Unmarshaler) error {
	resp, err := c.do(ctx, method, url, body, "application/json")
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := bounded.ReadAll(resp.Body, maxResponseBytes)
	if err != nil {
		return err
	}
	return out.UnmarshalJSON(data)
}

// readRefusal returns the refusal in resp as a *RefusedError, or an error if there is none.
func readRefusal(resp *http.Response) error {
	data, err := bounded.ReadAll(resp.Body, maxResponseBytes)
	if err != nil {
		return err
	}
	out := &RefusedError{Status: resp.StatusCode}
	if err := out.Refusal.UnmarshalJSON(data); err != nil {
		return errors.Newf("HTTP status %s without a verdict", resp.Status)
	}
	return out
}

// failedToDial reports whether err is a failure to connect, so that no byte of the request was sent.
func failedToDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
