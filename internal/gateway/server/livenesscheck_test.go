package server

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/gateway/httpconn"
	"mangoledge.example/mangoledge/internal/gateway/site"
)

// listenWithHandler opens a port and passes each accepted connection to do.
func listenWithHandler(t *testing.T, do func(net.Conn)) site.Upstream {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			do(c)
		}
	}()
	return site.Upstream{ID: "i-1", Address: netip.MustParseAddrPort(listener.Addr().String())}
}

func TestUpstreamWhoseProxyClosesConnectionsIsReportedDead(t *testing.T) {
	u := listenWithHandler(t, func(c net.Conn) { _ = c.Close() })
	dead := make(chan site.Upstream, 1)
	newLivenessCheck(httpconn.NewPool(nil).Probe, func(u site.Upstream) { dead <- u }, slog.New(slog.DiscardHandler)).start(t.Context(), u)
	select {
	case <-dead:
	case <-time.After(10 * time.Second):
		t.Fatal("the upstream was not reported dead")
	}
}

func TestUpstreamThatHoldsConnectionIsNotReportedDead(t *testing.T) {
	var held atomic.Int64
	u := listenWithHandler(t, func(net.Conn) { held.Add(1) })
	check := newLivenessCheck(httpconn.NewPool(nil).Probe, func(site.Upstream) { t.Error("the upstream was reported dead") }, slog.New(slog.DiscardHandler))
	check.run(context.Background(), u)
	require.Equal(t, int64(1), held.Load(), "one probe is enough")
}
