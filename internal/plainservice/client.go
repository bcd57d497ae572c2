// Package plainservice calls the plain services that stand beside the model engines.
//
// Invariants: a non-idempotent call is sent once, on a fresh connection; every
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
	"mangoledge.example/mangoledge/internal/verdict"
)

const (
	// dialTimeout bounds the time to connect to a service.
	dialTimeout = 800 * time.Millisecond
	// idempotentLimit is how long an idempotent call may be silent before it is sent again elsewhere.
	idempotentLimit = 2500 * time.Millisecond
	// maxReplyBytes is the longest reply that is read, in bytes.
	maxReplyBytes = 4 << 20
)

// Client calls plain services.
type Client struct {
	http *http.Client
}

// NewClient returns a Client. Every call has a connection of its own, so that
// none is lost on one that was silently forgotten on its way.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: time.Second}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: bounded.MaxHeadBytes}
	return &Client{http: &http.Client{Transport: transport}}
}

// Call sends payload to the service at base and returns its reply.
func (c *Client) Call(ctx context.Context, base, requestID, payload string, idempotent bool) (string, error) {
	if idempotent {
		limited, cancel := context.WithTimeout(ctx, idempotentLimit)
		defer cancel()
		ctx = limited
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
	if err != nil {
		return "", verdict.New(verdict.Ran, verdict.CodeUpstreamFailed, "the service's reply broke: %v", err)
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		return string(reply), nil
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		return "", verdict.New(verdict.NotRun, verdict.CodeOverloaded, "the service takes no call now")
	case resp.StatusCode < http.StatusInternalServerError:
		return "", verdict.New(verdict.NotRun, verdict.CodeBadInput, "the service refused the call: %s", reply)
	}
	return "", verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "the service answered %s", resp.Status)
}
