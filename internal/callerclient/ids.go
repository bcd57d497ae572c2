package callerclient

import (
	"context"
	cryptorand "crypto/rand"
	"math/rand/v2"
	"slices"
	"strings"

	"mangoledge.example/mangoledge/api/callerapi"
)

// NewID makes a request ID whose home is one of the site's addresses. Choose it
// before the first send and keep it for every resend.
func (c *Client) NewID(ctx context.Context) (string, error) {
	book, err := c.Addresses(ctx)
	if err != nil {
		return "", err
	}
	return c.newID(book), nil
}

// newID spreads the homes over the addresses that did not fail lately: the site
// has no balancer, so the load of a node is what callers choose.
func (c *Client) newID(book *callerapi.AddressBook) string {
	shuffled := slices.Clone(book.Addresses)
	rand.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	return idWithPrefix(c.avoidedLast(shuffled)[0].RequestIdPrefix)
}

// homeOf is the part of an ID or prefix that names the home.
func homeOf(id string) string {
	home, _, _ := strings.Cut(id, ".")
	return home
}

func idWithPrefix(prefix string) string {
	return prefix + strings.ToLower(cryptorand.Text())
}
