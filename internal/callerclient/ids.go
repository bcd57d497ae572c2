package callerclient

import (
	"context"
	"crypto/rand"
	"strings"
)

// NewID makes a request ID from the site's current prefix. Choose it before
// the first send and keep it for every resend.
func (c *Client) NewID(ctx context.Context) (string, error) {
	book, err := c.Addresses(ctx)
	if err != nil {
		return "", err
	}
	return idWithPrefix(book.RequestIdPrefix), nil
}

func idWithPrefix(prefix string) string {
	return prefix + strings.ToLower(rand.Text())
}
