// Package rest is the HTTP client for the platform's smaller services: JSON over
// net/http, with a deadline for each call and errors that tell whether the call may
// have taken effect.
package rest

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"mangoledge.example/mangoledge/internal/bounded"
)

const (
	// DefaultCallTimeout is the deadline of one call.
	DefaultCallTimeout = 3 * time.Second
	// DefaultCallsPerSecond is a node's budget of calls to one service.
	DefaultCallsPerSecond = 20
	// defaultBurst is the burst size of the call budget.
	defaultBurst = 40
	// maxIdleConnections bounds the idle connections that a client keeps.
	maxIdleConnections = 4
	// maxResponseBytes bounds a response.
	maxResponseBytes = 32 << 20
)

// Options configure a Client.
type Options struct {
	// BaseURL is the base URL of the service, such as "http://127.0.0.1:9400".
	BaseURL string
	// Token is sent as a bearer token; empty for none.
	Token string
	// CallTimeout is DefaultCallTimeout when 0.
	CallTimeout time.Duration
	// CallsPerSecond is DefaultCallsPerSecond when 0.
	CallsPerSecond float64
}

// Client calls one service.
type Client struct {
	options Options
	limiter *rate.Limiter
	sender  *Sender
}

// NewClient returns a client; zero options get their defaults.
func NewClient(options Options) *Client {
	if options.CallTimeout == 0 {
		options.CallTimeout = DefaultCallTimeout
	}
	if options.CallsPerSecond == 0 {
		options.CallsPerSecond = DefaultCallsPerSecond
	}
	limiter := rate.NewLimiter(rate.Limit(options.CallsPerSecond), defaultBurst)
	return &Client{options: options, limiter: limiter, sender: NewSender(options.BaseURL, options.Token, maxIdleConnections)}
}

// Close closes idle connections.
func (c *Client) Close() { c.sender.Close() }

// Error is the error of a call.
type Error struct {
	// Call is the call, such as "POST /cloud/v1/hosts".
	Call string
	// Status is the HTTP status, or 0 when there was no response.
	Status int
	// Reason is the service's machine-readable reason, such as "InsufficientCapacity".
	Reason string
	// NoEffect is true when the call certainly had no effect.
	NoEffect bool
	// RetryAfter is the retry delay given by the service, or 0.
	RetryAfter time.Duration
	// Cause is the underlying error, or nil.
	Cause error
}

// Error returns the call with what is known of its failure.
func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s: no answer (no effect: %t): %v", e.Call, e.NoEffect, e.Cause)
	}
	return fmt.Sprintf("%s: status %d: %s", e.Call, e.Status, e.Reason)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// StatusOf returns the HTTP status of the response behind err, or 0.
func StatusOf(err error) int {
	var e *Error
	if errors.As(err, &e) {
		return e.Status
	}
	return 0
}

// ReasonOf returns the service's machine-readable reason for err, or "".
func ReasonOf(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Reason
	}
	return ""
}

// errorBody is the body of an error response.
type errorBody struct {
	Reason string `json:"reason"`
}

// Do makes one call with in as its JSON body, nil for none, and decodes the response into out unless out
// is nil.
func (c *Client) Do(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	failure := &Error{Call: method + " " + path, NoEffect: true}
	if failure.Cause = c.limiter.Wait(ctx); failure.Cause != nil {
		return failure
	}
	resp, sent, err := c.encodeAndSend(ctx, method, path, in)
	failure.NoEffect = !sent || method == http.MethodGet
	if err != nil {
		failure.Cause = err
		return failure
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := bounded.ReadAll(resp.Body, maxResponseBytes)
	if err != nil {
		failure.Cause = err
		return failure
	}
	if resp.StatusCode/100 != 2 {
		return fillResponseError(failure, resp, data)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		failure.Cause = err
		return failure
	}
	return nil
}

func (c *Client) encodeAndSend(ctx context.Context, method, path string, in any) (resp *http.Response, sent bool, err error) {
	var body []byte
	if in != nil {
		if body, err = json.Marshal(in); err != nil {
			return nil, false, err
		}
	}
	return c.sender.Send(ctx, method, path, body)
}

// fillResponseError adds the status, reason and retry delay of an error response to failure.
func fillResponseError(failure *Error, resp *http.Response, data []byte) *Error {
	var body errorBody
	_ = json.Unmarshal(data, &body) // a response without a reason still has its status
	failure.Status = resp.StatusCode
	failure.Reason = body.Reason
	failure.NoEffect = failure.NoEffect || resp.StatusCode/100 == 4
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		failure.RetryAfter = time.Duration(seconds) * time.Second
	}
	return failure
}
