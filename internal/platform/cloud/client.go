// Package cloud is the client of the platform's cloud API, which starts and terminates
// hosts and lists prices and reclaim notices.
//
// Invariant: a start has a client token, so that repeating it returns the same host.
package cloud

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/rest"
)

// reasonNoCapacity is the cloud's reason code when a pool has no host available.
const reasonNoCapacity = "InsufficientCapacity"

// Client implements API over HTTP.
type Client struct{ rest *rest.Client }

// NewClient returns a client that makes its calls through client.
func NewClient(client *rest.Client) *Client { return &Client{rest: client} }

// Start starts a host, or returns the one already started with the same client token.
func (c *Client) Start(ctx context.Context, start Start) (Host, error) {
	var out Host
	err := c.rest.Do(ctx, http.MethodPost, "/cloud/v1/hosts", start, &out)
	return out, err
}

// Terminate terminates a host.
func (c *Client) Terminate(ctx context.Context, host ident.Host) error {
	return c.rest.Do(ctx, http.MethodDelete, "/cloud/v1/hosts/"+url.PathEscape(string(host)), nil, nil)
}

// Hosts lists all hosts.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var out []Host
	err := c.rest.Do(ctx, http.MethodGet, "/cloud/v1/hosts", nil, &out)
	return out, err
}

// Offers lists the pools with their prices.
func (c *Client) Offers(ctx context.Context) ([]Offer, error) {
	var out []Offer
	err := c.rest.Do(ctx, http.MethodGet, "/cloud/v1/offers", nil, &out)
	return out, err
}

// Notices returns the reclaim notices after a sequence number. If there are none, it waits
// up to wait for the first.
func (c *Client) Notices(ctx context.Context, after uint64, wait time.Duration) ([]Notice, error) {
	query := url.Values{
		"after":  {strconv.FormatUint(after, 10)},
		"waitMs": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var out []Notice
	err := c.rest.Do(ctx, http.MethodGet, "/cloud/v1/notices?"+query.Encode(), nil, &out)
	return out, err
}

// IsNoCapacity reports whether a start was refused because the pool has no host available.
func IsNoCapacity(err error) bool { return rest.ReasonOf(err) == reasonNoCapacity }
