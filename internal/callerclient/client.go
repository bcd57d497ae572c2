// Package callerclient sends requests as a caller does: it asks the site which
// addresses to use, chooses the request ID before the first send, and comes
// back with the same ID after a lost connection.
//
// Invariants:
//   - every resend carries the ID of the first send; a new ID is made only after
//     the verdict not_run;
//   - tokens of two generations are never joined;
//   - a result says "whole" only when the last event or the whole answer was seen.
//
// Lock order: Client.refreshing before Client.mu; no call is made under Client.mu.
package callerclient

import (
	"net/http"
	"sync"
	"time"

	"mangoledge.example/mangoledge/api/callerapi"
)

// Client sends requests of one caller. It is safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client

	// refreshing is held by the one goroutine that asks for addresses.
	refreshing sync.Mutex

	mu       sync.Mutex
	book     *callerapi.AddressBook
	goodTill time.Time
	// avoided holds addresses that failed lately, and until when to avoid them.
	avoided map[string]time.Time
}

// New returns a client.
func New(options Options) *Client {
	options = options.withDefaults()
	return &Client{
		options: options,
		http:    &http.Client{Transport: options.Transport},
		avoided: make(map[string]time.Time),
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}
