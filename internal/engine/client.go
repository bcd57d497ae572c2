package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/bounded"
	"mangoledge.example/mangoledge/internal/verdict"
)

const (
	// dialTimeout is the timeout for connecting to an engine.
	dialTimeout = 800 * time.Millisecond
	// idleTimeout is the longest time without data on a stream; engines send a comment at
	// least every second.
	idleTimeout = 2500 * time.Millisecond
	// responseTimeout is the time within which an engine must send the response header,
	// and the whole response of a short call.
	responseTimeout = 2500 * time.Millisecond
	// maxIdleConnsPerEngine is the number of idle connections kept to one engine.
	maxIdleConnsPerEngine = 32
	// idleConnTimeout is how long an idle connection is kept; a device on the network path
	// may have dropped the state of an older one.
	idleConnTimeout = 10 * time.Second
	// maxFailureBytes is the size up to which an error response is read, in bytes.
	maxFailureBytes = 64 << 10
)

// errNoData cancels a request whose response header or next stream data did not arrive in
// time.
var errNoData = errors.New("silent for too long")

// Timeouts limit how long a client waits for an engine.
type Timeouts struct {
	// Dial limits the time to establish a connection.
	Dial time.Duration
	// Response limits the time until the response header, or a whole response that is no stream.
	Response time.Duration
	// Idle limits the time without data on a stream.
	Idle time.Duration
}

// defaultTimeouts are those of a client that serves requests.
var defaultTimeouts = Timeouts{Dial: dialTimeout, Response: responseTimeout, Idle: idleTimeout}

// Client calls engines.
type Client struct {
	timeouts Timeouts
	// pooled reuses connections.
	pooled *http.Client
	// fresh opens a connection for each request.
	fresh *http.Client
}

// NewClient returns a Client without open connections.
func NewClient() *Client { return NewClientWithTimeouts(defaultTimeouts) }

// NewClientWithTimeouts returns a Client without open connections that waits for engines as long as
// timeouts allow.
func NewClientWithTimeouts(timeouts Timeouts) *Client {
	return &Client{
		timeouts: timeouts,
		pooled:   &http.Client{Transport: newTransport(timeouts.Dial, false)},
		fresh:    &http.Client{Transport: newTransport(timeouts.Dial, true)},
	}
}

// newTransport returns a transport that opens a connection for each request if fresh is
// true.
func newTransport(dial time.Duration, fresh bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dial, KeepAlive: time.Second}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableKeepAlives:   fresh,
		MaxIdleConnsPerHost: maxIdleConnsPerEngine,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		// A faulty engine may send response headers without end.
		MaxResponseHeaderBytes: bounded.MaxHeadBytes,
	}
}

// Start runs a completion. If idempotent is false, the request is sent on a new
// connection and never retried.
func (c *Client) Start(ctx context.Context, base string, completion *Completion, idempotent bool) (*Stream, error) {
	body, err := json.Marshal(completion)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeInternal, "completion: %v", err)
	}
	client := c.pooled
	if !idempotent {
		client = c.fresh
	}
	return c.open(ctx, client, http.MethodPost, base+"/v1/completions", body)
}

// Attach resumes reading a running or recently finished stream from offset.
func (c *Client) Attach(ctx context.Context, base, requestID string, offset int) (*Stream, error) {
	target := base + "/v1/streams/" + url.PathEscape(requestID) + "?offset=" + strconv.Itoa(offset)
	return c.open(ctx, c.pooled, http.MethodGet, target, nil)
}

// Cancel stops a stream. Cancelling an unknown stream is not an error.
func (c *Client) Cancel(ctx context.Context, base, requestID string) error {
	return c.call(ctx, http.MethodDelete, base+"/v1/streams/"+url.PathEscape(requestID), nil, nil)
}

// Export stops a stream and makes its KV cache available to another engine. The engine
// may queue the export, so its duration is limited by ctx only.
func (c *Client) Export(ctx context.Context, base, requestID string) (*KVExport, error) {
	out := new(KVExport)
	err := c.callWithoutTimeout(ctx, http.MethodPost, base+"/v1/kv/"+url.PathEscape(requestID)+"/export", nil, out)
	if err != nil {
		return nil, err
	}
	return out, nil
}

// Import makes the engine at base fetch an exported KV cache.
func (c *Client) Import(ctx context.Context, base string, from KVImport) error {
	body, err := json.Marshal(from)
	if err != nil {
		return err
	}
	return c.call(ctx, http.MethodPost, base+"/v1/kv/import", body, nil)
}

// ReportLoad returns the engine's latest load report, which may be outdated.
func (c *Client) ReportLoad(ctx context.Context, base string) (*Load, error) {
	out := new(Load)
	if err := c.call(ctx, http.MethodGet, base+"/v1/load", nil, out); err != nil {
		return nil, err
	}
	return out, nil
}

// open sends a request whose response is a stream.
func (c *Client) open(ctx context.Context, client *http.Client, method, target string, body []byte) (*Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	headerTimer := time.AfterFunc(c.timeouts.Response, func() { cancel(errNoData) })
	resp, err := c.send(ctx, client, method, target, body)
	if err != nil {
		headerTimer.Stop()
		cancel(nil)
		return nil, err
	}
	if !headerTimer.Stop() {
		_ = resp.Body.Close()
		cancel(nil)
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "the engine took too long to answer")
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel(nil)
		return nil, failureError(resp)
	}
	return newStream(ctx, resp, cancel, c.timeouts.Idle), nil
}

// call sends a request with a JSON response that must be complete within
// Timeouts.Response.
func (c *Client) call(ctx context.Context, method, target string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeouts.Response)
	defer cancel()
	return c.callWithoutTimeout(ctx, method, target, body, out)
}

// callWithoutTimeout sends a request with a JSON response whose duration is limited by
// ctx only.
func (c *Client) callWithoutTimeout(ctx context.Context, method, target string, body []byte, out any) error {
	resp, err := c.send(ctx, c.pooled, method, target, body)
	if err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return failureError(resp)
	}
	defer func() { _ = resp.Body.Close() }()
	if out == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

// send sends a request and returns the response, whatever its status. The verdict of an
// error is NotRun only if no byte of the request can have been sent.
func (c *Client) send(ctx context.Context, client *http.Client, method, target string, body []byte) (*http.Response, error) {
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, target, bytes.NewReader(body))
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUpstreamFailed, "%v", err)
	}
	if client == c.fresh {
		req.GetBody = nil
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err == nil {
		return resp, nil
	}
	if !connected {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUpstreamFailed, "no connection to the engine: %v", err)
	}
	return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "the call to the engine broke: %v", err)
}

// failureError converts an error response to an error and closes its body. The verdict is
// NotRun for a status 4xx and when the engine is leaving, because the engine did not run the
// request then.
func failureError(resp *http.Response) error {
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxFailureBytes))
	var failure Failure
	_ = json.Unmarshal(data, &failure)
	switch {
	case resp.StatusCode == http.StatusTooManyRequests:
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "the engine is full")
	case resp.StatusCode == http.StatusServiceUnavailable && failure.Error.Code == CodeLeaving:
		return verdict.New(verdict.NotRun, verdict.CodeStopping, "the engine is leaving")
	case resp.StatusCode == http.StatusNotFound:
		return verdict.New(verdict.NotRun, verdict.CodeUnknownRequest, "the engine does not know the stream")
	case resp.StatusCode/100 == 4:
		return verdict.New(verdict.NotRun, verdict.CodeUpstreamFailed, "the engine answered %s: %s", resp.Status, failure.Error.Message)
	}
	return verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "the engine answered %s: %s", resp.Status, failure.Error.Message)
}
