package peers

import (
	"context"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestAddressIsFreeOnceTheMessengerIsClosed guards against a node that cannot start again at its
// address, as the socket of the one before is still being closed.
func TestAddressIsFreeOnceTheMessengerIsClosed(t *testing.T) {
	address := "127.0.0.1:0"
	for range 100 {
		ctx, cancel := context.WithCancel(t.Context())
		registry := NewRegistry(nil, "n", Record{}, slog.New(slog.DiscardHandler))
		m, err := Listen(address, registry, slog.New(slog.DiscardHandler))
		require.NoError(t, err)
		address = m.conn.LocalAddr().String()
		m.PlanRound = func(uint64) func(string) Delivery { return nil }
		m.ForwardTargets = func() []string { return nil }
		ended := make(chan struct{})
		go func() { m.Run(ctx); close(ended) }()
		cancel()
		m.Close()
		next, err := Listen(address, registry, slog.New(slog.DiscardHandler))
		require.NoError(t, err)
		next.Close()
		<-ended
	}
}
