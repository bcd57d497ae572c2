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
	// dialTimeout bounds the time to connect to an engine.
	dialTimeout = 800 * time.Millisecond
	// idleLimit is how long a stream may send nothing; engines send a comment at least every second.
	idleLimit = 2500 * time.Millisecond
	// headerLimit is how long an engine may take to answer a call with its header.
	headerLimit = 2500 * time.Millisecond
	// maxIdlePerEngine is the number of idle connections kept to one engine.
	maxIdlePerEngine = 32
	// idleConnLife is how long an idle connection is kept; an older one may have been forgotten on its way.
	idleConnLife = 10 * time.Second
	// maxFailureBytes bounds how much of an error answer is read.
	maxFailureBytes = 64 << 10
)

var errSilent = errors.New("silent for too long")

// Client calls engines.
type Client struct {
	pooled *http.Client
	fresh  *http.Client
}

// NewClient returns a Client.
func NewClient() *Client {
	return &Client{
		pooled: &http.Client{Transport: newTransport(false)},
		fresh:  &http.Client{Transport: newTransport(true)},
	}
}

func newTransport(fresh bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: time.Second}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableKeepAlives:   fresh,
		MaxIdleConnsPerHost: maxIdlePerEngine,
		IdleConnTimeout:     idleConnLife,
		DisableCompression:  true,
		// An engine in trouble may send a head that does not end.
		MaxResponseHeaderBytes: bounded.MaxHeadBytes,
	}
}

// Start runs a completion. With idempotent false it is sent on a fresh
// connection and never sent twice.
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

// Attach continues reading a running or lately finished stream from offset.
func (c *Client) Attach(ctx context.Context, base, requestID string, offset int) (*Stream, error) {
	target := base + "/v1/streams/" + url.PathEscape(requestID) + "?offset=" + strconv.Itoa(offset)
	return c.open(ctx, c.pooled, http.MethodGet, target, nil)
}

// Cancel stops a stream; an unknown one is no error.
func (c *Client) Cancel(ctx context.Context, base, requestID string) error {
	return c.call(ctx, http.MethodDelete, base+"/v1/streams/"+url.PathEscape(requestID), nil, nil)
}

// Export stops a stream, once its turn has come, and makes its cache ready for
// another engine. How long that may take is the caller's to bound by ctx.
func (c *Client) Export(ctx context.Context, base, requestID string) (*KVExport, error) {
	out := new(KVExport)
	err := c.callWithin(ctx, http.MethodPost, base+"/v1/kv/"+url.PathEscape(requestID)+"/export", nil, out)
	if err != nil {
		return nil, err
	}
	return out, nil
}

// Import has the engine at base fetch an exported cache.
func (c *Client) Import(ctx context.Context, base string, from KVImport) error {
	body, err := json.Marshal(from)
	if err != nil {
		return err
	}
	return c.call(ctx, http.MethodPost, base+"/v1/kv/import", body, nil)
}

// ReportLoad asks the engine for its load, which may be old.
func (c *Client) ReportLoad(ctx context.Context, base string) (*Load, error) {
	out := new(Load)
	if err := c.call(ctx, http.MethodGet, base+"/v1/load", nil, out); err != nil {
		return nil, err
	}
	return out, nil
}

// open sends a call whose answer is a stream.
func (c *Client) open(ctx context.Context, client *http.Client, method, target string, body []byte) (*Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	header := time.AfterFunc(headerLimit, func() { cancel(errSilent) })
	resp, err := c.send(ctx, client, method, target, body)
	if err != nil {
		header.Stop()
		cancel(nil)
		return nil, err
	}
	if !header.Stop() {
		_ = resp.Body.Close()
		cancel(nil)
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "the engine took too long to answer")
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel(nil)
		return nil, readFailure(resp)
	}
	return newStream(ctx, resp, cancel, idleLimit), nil
}

// call sends a call with a JSON answer that comes soon.
func (c *Client) call(ctx context.Context, method, target string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, headerLimit)
	defer cancel()
	return c.callWithin(ctx, method, target, body, out)
}

// callWithin sends a call with a JSON answer that ctx alone bounds.
func (c *Client) callWithin(ctx context.Context, method, target string, body []byte, out any) error {
	resp, err := c.send(ctx, c.pooled, method, target, body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return readFailure(resp)
	}
	defer func() { _ = resp.Body.Close() }()
	if out == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		return err
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

// send sends a call. Its error says NotRun only when no byte of the call can have left.
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

// readFailure turns an error answer into an error. An engine that answers with
// an error did not run the call.
func readFailure(resp *http.Response) error {
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
	case resp.StatusCode < http.StatusInternalServerError:
		return verdict.New(verdict.NotRun, verdict.CodeUpstreamFailed, "the engine answered %s: %s", resp.Status, failure.Error.Message)
	}
	return verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "the engine answered %s: %s", resp.Status, failure.Error.Message)
}
