// Package weights is the client of the platform's rate-limited weight store.
package weights

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/rest"
)

// ErrBusy is returned when a load would exceed the store's rate limit; the call had no effect.
var ErrBusy = errors.New("rate limit of the weight store reached")

// Load is a request for permission for a host to load weights.
type Load struct {
	Host    ident.Host    `json:"host"`
	Model   ident.Model   `json:"model"`
	Version ident.Version `json:"version,omitempty"`
	Adapter ident.Adapter `json:"adapter,omitempty"`
}

// API is the part of the weight store's API that the reconciler uses.
type API interface {
	// Begin requests permission to begin a load; it returns ErrBusy if the store refuses for now.
	Begin(ctx context.Context, load Load) error
}

// Client implements API over HTTP. After the store was busy, it sends no request until the
// retry time given by the store.
type Client struct {
	rest  *rest.Client
	clock func() time.Time

	mu        sync.Mutex
	busyUntil time.Time
}

// NewClient returns a client that makes its calls through client; clock is time.Now when nil.
func NewClient(client *rest.Client, clock func() time.Time) *Client {
	if clock == nil {
		clock = time.Now
	}
	return &Client{rest: client, clock: clock}
}

// Begin implements API. Errors other than ErrBusy are *rest.Error.
func (c *Client) Begin(ctx context.Context, load Load) error {
	c.mu.Lock()
	busy := c.clock().Before(c.busyUntil)
	c.mu.Unlock()
	if busy {
		return ErrBusy
	}
	err := c.rest.Do(ctx, http.MethodPost, "/weights/v1/loads", load, nil)
	if rest.StatusOf(err) != http.StatusTooManyRequests {
		return err
	}
	var refused *rest.Error
	errors.As(err, &refused)
	c.mu.Lock()
	c.busyUntil = c.clock().Add(refused.RetryAfter)
	c.mu.Unlock()
	return errors.Wrap(ErrBusy, err.Error())
}
