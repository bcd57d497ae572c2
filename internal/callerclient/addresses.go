package callerclient

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/api/callerapi"
)

const (
	// addressesTimeout is how long one node may take to return the addresses.
	addressesTimeout = time.Second
	// avoidDuration is how long an address is tried last after it failed.
	avoidDuration = 5 * time.Second
)

// ErrNoAddress is returned when no node returned addresses.
var ErrNoAddress = errors.New("no node answered the request for addresses")

// Addresses returns the site's addresses, cached for as long as the site allows. If
// no node answers, it returns the expired addresses if there are any.
func (c *Client) Addresses(ctx context.Context) (*callerapi.AddressBook, error) {
	if book, fresh := c.cachedAddresses(); fresh {
		return book, nil
	}
	c.refreshMu.Lock()
	defer c.refreshMu.Unlock()
	old, fresh := c.cachedAddresses()
	if fresh {
		return old, nil
	}
	book, err := c.refreshAddresses(ctx, old)
	if err == nil {
		return book, nil
	}
	if old != nil {
		return old, nil
	}
	return nil, err
}

// expireAddresses makes the next call of Addresses fetch them again.
func (c *Client) expireAddresses() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addressesExpire = time.Time{}
}

// cachedAddresses returns the last addresses fetched, or nil, and whether they are still valid.
func (c *Client) cachedAddresses() (*callerapi.AddressBook, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addressBook, c.addressBook != nil && time.Now().Before(c.addressesExpire)
}

// refreshAddresses fetches the addresses from one node after another until one
// answers, and caches them.
func (c *Client) refreshAddresses(ctx context.Context, old *callerapi.AddressBook) (*callerapi.AddressBook, error) {
	err := ErrNoAddress
	for _, address := range c.queryOrder(old) {
		book, fetchErr := c.fetchAddresses(ctx, address.URL)
		if fetchErr != nil {
			err = errors.Mark(fetchErr, ErrNoAddress)
			continue
		}
		c.mu.Lock()
		c.addressBook = book
		c.addressesExpire = time.Now().Add(time.Duration(book.KeepMs) * time.Millisecond)
		c.mu.Unlock()
		return book, nil
	}
	return nil, err
}

// queryOrder returns the addresses to query: those in old, which may be nil, then the
// seeds, with those that failed recently last.
func (c *Client) queryOrder(old *callerapi.AddressBook) []callerapi.Address {
	var all []callerapi.Address
	if old != nil {
		all = append(all, old.Addresses...)
	}
	for _, seed := range c.options.Seeds {
		all = append(all, callerapi.Address{URL: seed})
	}
	return c.failedLast(all)
}

// failedLast returns all without duplicates, with addresses that failed recently last.
func (c *Client) failedLast(all []callerapi.Address) []callerapi.Address {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	seen := make(map[string]bool, len(all))
	var usable, failed []callerapi.Address
	for _, address := range all {
		if seen[address.URL] {
			continue
		}
		seen[address.URL] = true
		if now.Before(c.avoidUntil[address.URL]) {
			failed = append(failed, address)
		} else {
			usable = append(usable, address)
		}
	}
	return append(usable, failed...)
}

// markFailed makes address be tried last for avoidDuration.
func (c *Client) markFailed(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidUntil[address] = time.Now().Add(avoidDuration)
}

// fetchAddresses fetches the addresses from the node at address.
func (c *Client) fetchAddresses(ctx context.Context, address string) (*callerapi.AddressBook, error) {
	ctx, cancel := context.WithTimeout(ctx, addressesTimeout)
	defer cancel()
	book := new(callerapi.AddressBook)
	if err := c.doJSON(ctx, http.MethodGet, address+"/v1/addresses", nil, book); err != nil {
		c.markFailed(address)
		return nil, errors.Wrapf(err, "%s", address)
	}
	if len(book.Addresses) == 0 {
		return nil, errors.Newf("%s returned no addresses", address)
	}
	return book, nil
}
