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

// ErrBusy is returned when a load would go beyond the store's rate; it had no effect.
var ErrBusy = errors.New("the weight store lets no further load begin now")

// Load asks that a host may load weights.
type Load struct {
	Host    ident.Host    `json:"host"`
	Model   ident.Model   `json:"model"`
	Version ident.Version `json:"version,omitempty"`
	Adapter ident.Adapter `json:"adapter,omitempty"`
}

// API is what the reconciler asks of the weight store.
type API interface {
	// Begin lets a load begin, or returns ErrBusy.
	Begin(ctx context.Context, load Load) error
}

// Client is an API over HTTP. It asks no more until the time that the store
// named when it was busy.
type Client struct {
	rest  *rest.Client
	clock func() time.Time

	mu        sync.Mutex
	busyUntil time.Time
}

// NewClient returns a client that calls by client; clock is time.Now when nil.
func NewClient(client *rest.Client, clock func() time.Time) *Client {
	if clock == nil {
		clock = time.Now
	}
	return &Client{rest: client, clock: clock}
}

// Begin lets a load begin, or returns ErrBusy. Other errors are *rest.Error.
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
