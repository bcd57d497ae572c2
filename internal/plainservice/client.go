// Package plainservice is the HTTP client for plain services: upstreams that are not
// model engines.
//
// Invariants: a non-idempotent call is sent once, on a new connection; every
// error is a *verdict.Error that says whether the call may have run.
package plainservice

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"mangoledge.example/mangoledge/internal/bounded"
	"mangoledge.example/mangoledge/internal/gateway/httpconn"
	"mangoledge.example/mangoledge/internal/ingress"
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
	// receiveBuffer is the wanted receive buffer of a call's connection, in bytes.
	receiveBuffer = 64 << 10
	// maxErrorBytes is the maximum length of what is passed on of a refusal's reply, in bytes.
	maxErrorBytes = 1 << 10
)

// Reply is the reply of a service.
type Reply struct {
	Text string
	// Release gives back the memory that is reserved for the text.
	Release func()
}

// Client calls plain services.
type Client struct {
	http *http.Client
	// probes establishes connections that show whether a service lives.
	probes *httpconn.Pool
	// answers bounds the memory of long replies; nil for no bound.
	answers *ingress.AnswerMemory
}

// NewClient returns a Client. Every call opens a connection, because a device on the
// network path may silently drop an idle one, and the call on it would be lost. Memory for long replies is reserved
// from answers, and receive buffers from buffers, unless they are nil.
func NewClient(answers *ingress.AnswerMemory, buffers *ingress.ReceiveBuffers) *Client {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: time.Second}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		return buffers.Dial(ctx, dialer, network, address, receiveBuffer)
	}
	transport := &http.Transport{DialContext: dial, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: bounded.MaxHeadBytes}
	return &Client{http: &http.Client{Transport: transport}, probes: httpconn.NewPool(nil), answers: answers}
}

// Call sends payload to the service at base and returns its reply, which the caller releases. A long reply waits
// at the service until there is memory for it.
func (c *Client) Call(ctx context.Context, base, requestID, payload string, idempotent bool) (Reply, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := new(callTimeout)
	if idempotent {
		timeout.timer = time.AfterFunc(idempotentTimeout, cancel)
		defer timeout.pause()
	}
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, base+"/call", strings.NewReader(payload))
	if err != nil {
		return Reply{}, verdict.New(verdict.NotRun, verdict.CodeUpstreamFailed, "%v", err)
	}
	req.GetBody = nil
	req.Header.Set("X-Request-Id", requestID)
	resp, err := c.http.Do(req)
	if err != nil && !connected {
		return Reply{}, verdict.New(verdict.NotRun, verdict.CodeUpstreamFailed, "no connection to the service: %v", err)
	}
	if err != nil {
		return Reply{}, verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "the call to the service broke: %v", err)
	}
	defer func() { _ = resp.Body.Close() }()
	body := httpconn.NewPromptReader(resp.Body)
	reply, err := c.readReply(ctx, resp, body, timeout)
	if err != nil {
		return Reply{}, verdict.New(verdict.Ran, verdict.CodeUpstreamFailed, "the service's reply broke: %v", err)
	}
	if err := c.confirmWhole(ctx, resp, body.AliveAt()); err != nil {
		reply.Release()
		return Reply{}, verdict.New(verdict.Ran, verdict.CodeUpstreamFailed, "the service's reply broke: %v", err)
	}
	if resp.StatusCode == http.StatusOK {
		return reply, nil
	}
	defer reply.Release()
	switch {
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		return Reply{}, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "the service takes no call now")
	case resp.StatusCode/100 == 4:
		text := reply.Text[:min(len(reply.Text), maxErrorBytes)]
		return Reply{}, verdict.New(verdict.NotRun, verdict.CodeBadInput, "the service refused the call: %s", strings.ToValidUTF8(text, ""))
	}
	return Reply{}, verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "the service answered %s", resp.Status)
}

// callTimeout is the timeout of a call that may be repeated; other calls have none.
type callTimeout struct {
	timer *time.Timer
}

func (t *callTimeout) pause() {
	if t.timer != nil {
		t.timer.Stop()
	}
}

func (t *callTimeout) restart() {
	if t.timer != nil {
		t.timer.Reset(idempotentTimeout)
	}
}

// readReply reads a whole reply. The timeout doesn't run while the reply waits for memory.
func (c *Client) readReply(ctx context.Context, resp *http.Response, body io.Reader, timeout *callTimeout) (Reply, error) {
	start, err := io.ReadAll(io.LimitReader(body, ingress.ShortAnswer))
	if err != nil {
		return Reply{}, err
	}
	if len(start) < ingress.ShortAnswer {
		return Reply{Text: string(start), Release: func() {}}, nil
	}
	length := resp.ContentLength
	if length < 0 {
		length = maxReplyBytes
	}
	if length > maxReplyBytes {
		return Reply{}, bounded.ErrTooLong
	}
	timeout.pause()
	release, err := c.answers.Reserve(ctx, length)
	if err != nil {
		return Reply{}, err
	}
	timeout.restart()
	var text strings.Builder
	if resp.ContentLength >= 0 {
		text.Grow(int(resp.ContentLength))
	}
	text.Write(start)
	if _, err = io.Copy(&text, io.LimitReader(body, maxReplyBytes+1-int64(len(start)))); err == nil && text.Len() > maxReplyBytes {
		err = bounded.ErrTooLong
	}
	if err != nil {
		release()
		return Reply{}, err
	}
	return Reply{Text: text.String(), Release: release}, nil
}

// confirmWhole returns an error if a reply that has ended may be incomplete: one without a length or
// chunks ends with its connection, also when the service's process ends in the middle of it. The process is
// known to have lived at aliveAt.
func (c *Client) confirmWhole(ctx context.Context, resp *http.Response, aliveAt time.Time) error {
	if resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 {
		return nil
	}
	address := resp.Request.URL.Host
	defer c.probes.CloseIdle(address)
	return c.probes.Outlived(ctx, address, aliveAt)
}
