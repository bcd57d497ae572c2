package peer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// linkTo returns the connection in use to address, or nil.
func (c *Client) linkTo(address string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.links[address]
}

// disableMonitor keeps the monitor goroutine from starting, so that a test can call
// checkLinks itself.
func (c *Client) disableMonitor() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.monitoring = true
}

func TestIdleConnectionIsClosed(t *testing.T) {
	address := startServer(t, "secret")
	client := NewClient(Dialer{Token: "secret"})
	defer client.Close()
	client.disableMonitor()
	require.NoError(t, client.Call(t.Context(), address, "Echo.Echo", &EchoArgs{}, &EchoArgs{}))
	client.checkLinks()
	for range idleChecks {
		require.NotNil(t, client.linkTo(address))
		client.checkLinks()
	}
	require.NotNil(t, client.linkTo(address))
	client.checkLinks()
	require.Nil(t, client.linkTo(address))
}

func TestCallsKeepConnectionOpen(t *testing.T) {
	address := startServer(t, "secret")
	client := NewClient(Dialer{Token: "secret"})
	defer client.Close()
	client.disableMonitor()
	for range 3 * idleChecks {
		require.NoError(t, client.Call(t.Context(), address, "Echo.Echo", &EchoArgs{}, &EchoArgs{}))
		client.checkLinks()
	}
	require.NotNil(t, client.linkTo(address))
	require.Zero(t, client.linkTo(address).unansweredChecks)
}

// silentServer completes the handshake and never answers a call.
func silentServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n")
			}
		}
	}()
	return listener.Addr().String()
}

func TestSilentConnectionIsRetired(t *testing.T) {
	address := silentServer(t)
	client := NewClient(Dialer{Token: "secret"})
	defer client.Close()
	client.disableMonitor()
	_, err := client.connect(t.Context(), address)
	require.NoError(t, err)
	for range heartbeatChecks - 1 {
		client.checkLinks()
	}
	require.NotNil(t, client.linkTo(address))
	client.checkLinks()
	require.Eventually(t, func() bool { return client.linkTo(address) == nil }, 20*time.Second, 10*time.Millisecond)
}
