// Package callerclient is a client of the caller API: it fetches the site's
// addresses, chooses the request ID before the first send, and retries with the
// same ID after a lost connection.
//
// Invariants:
//   - every retry carries the ID of the first send; a new ID is used only after
//     the verdict not_run;
//   - tokens of two generations are never joined;
//   - the outcome is OutcomeComplete only when the last event or the complete answer was received.
//
// Lock order: Client.refreshMu before Client.mu; no request is made while Client.mu is held.
package callerclient

import (
	"net/http"
	"sync"
	"time"

	"mangoledge.example/mangoledge/api/callerapi"
)

// Client sends the requests of one caller. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client

	// refreshMu is held by the goroutine that fetches addresses.
	refreshMu sync.Mutex

	mu              sync.Mutex
	addressBook     *callerapi.AddressBook
	addressesExpire time.Time
	// avoidUntil maps the URLs of addresses that failed to the time until which they are tried last.
	avoidUntil map[string]time.Time
}

// New returns a client.
func New(options Options) *Client {
	options = options.withDefaults()
	return &Client{
		options:    options,
		http:       &http.Client{Transport: options.Transport},
		avoidUntil: make(map[string]time.Time),
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}
