package callerclient

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/api/callerapi"
)

const (
	// askTimeout is how long one node may take to tell the addresses.
	askTimeout = time.Second
	// avoidTime is how long an address that failed is tried last.
	avoidTime = 5 * time.Second
)

// ErrNoAddress is returned when no node could be asked for addresses.
var ErrNoAddress = errors.New("no node answered the question for addresses")

// Addresses returns the addresses to use, from memory for as long as the site
// allows. When no node answers, an older list is better than none.
func (c *Client) Addresses(ctx context.Context) (*callerapi.AddressBook, error) {
	if book, fresh := c.kept(); fresh {
		return book, nil
	}
	c.refreshing.Lock()
	defer c.refreshing.Unlock()
	old, fresh := c.kept()
	if fresh {
		return old, nil
	}
	book, err := c.askForAddresses(ctx, old)
	if err == nil {
		return book, nil
	}
	if old != nil {
		return old, nil
	}
	return nil, err
}

// forget makes the next Addresses ask again.
func (c *Client) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.goodTill = time.Time{}
}

func (c *Client) kept() (*callerapi.AddressBook, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.book, c.book != nil && time.Now().Before(c.goodTill)
}

func (c *Client) askForAddresses(ctx context.Context, old *callerapi.AddressBook) (*callerapi.AddressBook, error) {
	err := ErrNoAddress
	for _, address := range c.askingOrder(old) {
		book, askErr := c.askOne(ctx, address.URL)
		if askErr != nil {
			err = errors.Mark(askErr, ErrNoAddress)
			continue
		}
		c.mu.Lock()
		c.book = book
		c.goodTill = time.Now().Add(time.Duration(book.KeepMs) * time.Millisecond)
		c.mu.Unlock()
		return book, nil
	}
	return nil, err
}

// askingOrder lists whom to ask: known addresses first, then the seeds, those that failed lately last.
func (c *Client) askingOrder(old *callerapi.AddressBook) []callerapi.Address {
	var all []callerapi.Address
	if old != nil {
		all = append(all, old.Addresses...)
	}
	for _, seed := range c.options.Seeds {
		all = append(all, callerapi.Address{URL: seed})
	}
	return c.avoidedLast(all)
}

// avoidedLast returns each address once, those that failed lately last.
func (c *Client) avoidedLast(all []callerapi.Address) []callerapi.Address {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	seen := make(map[string]bool, len(all))
	var good, bad []callerapi.Address
	for _, address := range all {
		if seen[address.URL] {
			continue
		}
		seen[address.URL] = true
		if now.Before(c.avoided[address.URL]) {
			bad = append(bad, address)
		} else {
			good = append(good, address)
		}
	}
	return append(good, bad...)
}

// avoid has address tried last for a while.
func (c *Client) avoid(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoided[address] = time.Now().Add(avoidTime)
}

func (c *Client) askOne(ctx context.Context, address string) (*callerapi.AddressBook, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	book := new(callerapi.AddressBook)
	if err := c.doJSON(ctx, http.MethodGet, address+"/v1/addresses", nil, book); err != nil {
		c.avoid(address)
		return nil, errors.Wrapf(err, "%s", address)
	}
	if len(book.Addresses) == 0 {
		return nil, errors.Newf("%s knows no addresses", address)
	}
	return book, nil
}
