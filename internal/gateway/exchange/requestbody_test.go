package exchange

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/ingress"
)

// A stopped stall timer stays among the runtime's timers for some time, and reaches the exchange.
func TestExchangeDoesNotKeepABodyWhoseMemoryWasReturned(t *testing.T) {
	account := ingress.NewAccount(1<<20, time.Now)
	body := account.NewBody(nil, ingress.Owner{}, time.Now().Add(time.Minute), func(time.Time) error { return nil })
	require.NoError(t, body.Receive(strings.NewReader("a body"), -1))
	e := &exchange{body: body, request: &site.Request{Body: body.Pieces()}}
	e.releaseBody()
	require.Zero(t, account.Usage().Held)
	require.Empty(t, e.request.Body)
}
