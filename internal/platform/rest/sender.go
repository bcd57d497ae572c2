package rest

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"

	"mangoledge.example/mangoledge/internal/bounded"
)

// Sender sends requests with JSON bodies to one service.
type Sender struct {
	baseURL   string
	token     string
	transport *http.Transport
}

// NewSender returns a sender to the service at baseURL, which sends token as a bearer
// token unless it is empty and keeps up to idleConnections idle connections.
func NewSender(baseURL, token string, idleConnections int) *Sender {
	return &Sender{
		baseURL:   strings.TrimSuffix(baseURL, "/"),
		token:     token,
		transport: &http.Transport{MaxIdleConnsPerHost: idleConnections, MaxResponseHeaderBytes: bounded.MaxHeadBytes},
	}
}

// Close closes idle connections.
func (s *Sender) Close() { s.transport.CloseIdleConnections() }

// Send sends one request and returns its response, whose body the caller must close.
// sent reports whether any part of the request may have left this process. A failure
// closes the idle connections, because they may have been lost with the failed one.
func (s *Sender) Send(ctx context.Context, method, path string, body []byte) (resp *http.Response, sent bool, err error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, s.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, false, err
	}
	req.Header.Set("Content-Type", "application/json")
	if s.token != "" {
		req.Header.Set("Authorization", "Bearer "+s.token)
	}
	resp, err = s.transport.RoundTrip(req)
	if err != nil {
		s.Close()
	}
	return resp, connected.Load(), err
}
