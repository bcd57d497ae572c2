// Package hostlist is the client of the platform's list of live and leaving hosts. The
// list lags behind the actual state by seconds.
package hostlist

import (
	"context"
	"net/http"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/rest"
)

// Host is one host as the list shows it.
type Host struct {
	Host          ident.Host          `json:"host"`
	FailureDomain ident.FailureDomain `json:"failureDomain"`
	HostClass     ident.HostClass     `json:"hostClass"`
	// Address is the IP address and port on which an upstream on the host listens, or empty.
	Address string `json:"address"`
	// Leaving is true after the host received its reclaim notice.
	Leaving bool `json:"leaving"`
}

// List is the host list as of AsOfMs.
type List struct {
	// AsOfMs is the time of the listed state, in Unix milliseconds of the platform's clock.
	AsOfMs int64  `json:"asOfMs"`
	Hosts  []Host `json:"hosts"`
}

// Client reads the list.
type Client struct{ rest *rest.Client }

// NewClient returns a client that makes its calls through client.
func NewClient(client *rest.Client) *Client { return &Client{rest: client} }

// List reads the list. Errors are *rest.Error.
func (c *Client) List(ctx context.Context) (List, error) {
	var out List
	err := c.rest.Do(ctx, http.MethodGet, "/hostlist/v1/hosts", nil, &out)
	return out, err
}
