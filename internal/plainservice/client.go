// Package plainservice is the HTTP client for plain services: upstreams that are not
// model engines.
//
// Invariants: a non-idempotent call is sent once, on a new connection; every
// error is a *verdict.Error that says whether the call may have run.
package plainservice

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"mangoledge.example/mangoledge/internal/bounded"
	"mangoledge.example/mangoledge/internal/gateway/httpconn"
	"mangoledge.example/mangoledge/internal/verdict"
)

const (
	// dialTimeout is the timeout for connecting to a service.
	dialTimeout = 800 * time.Millisecond
	// idempotentTimeout is the timeout of an idempotent call, after which the caller may
	// send it to another upstream.
	idempotentTimeout = 2500 * time.Millisecond
	// maxReplyBytes is the maximum length of a reply, in bytes.
	maxReplyBytes = 4 << 20
)

// Client calls plain services.
type Client struct {
	http *http.Client
	// probes establishes connections that show whether a service lives.
	probes *httpconn.Pool
}

// NewClient returns a Client. Every call opens a connection, because a device on the
// network path may silently drop an idle one, and the call on it would be lost.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: time.Second}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: bounded.MaxHeadBytes}
	return &Client{http: &http.Client{Transport: transport}, probes: httpconn.NewPool(nil)}
}

// Call sends payload to the service at base and returns its reply.
func (c *Client) Call(ctx context.Context, base, requestID, payload string, idempotent bool) (string, error) {
	if idempotent {
		timeoutCtx, cancel := context.WithTimeout(ctx, idempotentTimeout)
		defer cancel()
		ctx = timeoutCtx
	}
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, base+"/call", strings.NewReader(payload))
	if err != nil {
		return "", verdict.New(verdict.NotRun, verdict.CodeUpstreamFailed, "%v", err)
	}
	req.GetBody = nil
	req.Header.Set("X-Request-Id", requestID)
	resp, err := c.http.Do(req)
	if err != nil && !connected {
		return "", verdict.New(verdict.NotRun, verdict.CodeUpstreamFailed, "no connection to the service: %v", err)
	}
	if err != nil {
		return "", verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "the call to the service broke: %v", err)
	}
	defer func() { _ = resp.Body.Close() }()
	reply, err := bounded.ReadAll(resp.Body, maxReplyBytes)
	if err == nil {
		err = c.confirmWhole(ctx, resp)
	}
	if err != nil {
		return "", verdict.New(verdict.Ran, verdict.CodeUpstreamFailed, "the service's reply broke: %v", err)
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		return string(reply), nil
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		return "", verdict.New(verdict.NotRun, verdict.CodeOverloaded, "the service takes no call now")
	case resp.StatusCode/100 == 4:
		return "", verdict.New(verdict.NotRun, verdict.CodeBadInput, "the service refused the call: %s", reply)
	}
	return "", verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "the service answered %s", resp.Status)
}

// confirmWhole returns an error if a reply that has ended may be incomplete: one without a length or
// chunks ends with its connection, also when the service's process ends in the middle of it.
func (c *Client) confirmWhole(ctx context.Context, resp *http.Response) error {
	if resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 {
		return nil
	}
	address := resp.Request.URL.Host
	defer c.probes.CloseIdle(address)
	return c.probes.Outlived(ctx, address)
}
