package callerclient

import (
	"context"
	cryptorand "crypto/rand"
	"math/rand/v2"
	"slices"
	"strings"

	"mangoledge.example/mangoledge/api/callerapi"
)

// NewID returns a new request ID whose home is one of the site's nodes. Choose it
// before the first send and use it for every retry.
func (c *Client) NewID(ctx context.Context) (string, error) {
	book, err := c.Addresses(ctx)
	if err != nil {
		return "", err
	}
	return c.newID(book), nil
}

// newID returns an ID with a random home among the addresses that did not fail
// recently. The site has no load balancer, so this spreads the load over its nodes.
func (c *Client) newID(book *callerapi.AddressBook) string {
	shuffled := slices.Clone(book.Addresses)
	rand.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	return idWithPrefix(c.failedLast(shuffled)[0].RequestIdPrefix)
}

// homeOf returns the part of a request ID or prefix that names the home node.
func homeOf(id string) string {
	home, _, _ := strings.Cut(id, ".")
	return home
}

// idWithPrefix returns prefix with a random suffix.
func idWithPrefix(prefix string) string {
	return prefix + strings.ToLower(cryptorand.Text())
}
