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

// stopLooking ends the client's own looks, so that a test may look by itself.
func (c *Client) stopLooking() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.looking = true
}

func TestAnIdleConnectionIsClosed(t *testing.T) {
	address := startServer(t, "secret")
	client := NewClient(Dialer{Token: "secret"})
	defer client.Close()
	client.stopLooking()
	require.NoError(t, client.Call(t.Context(), address, "Echo.Echo", &EchoArgs{}, &EchoArgs{}))
	client.lookOnce()
	for range idleLooks {
		require.NotNil(t, client.linkTo(address))
		client.lookOnce()
	}
	require.NotNil(t, client.linkTo(address))
	client.lookOnce()
	require.Nil(t, client.linkTo(address))
}

func TestACallKeepsAConnection(t *testing.T) {
	address := startServer(t, "secret")
	client := NewClient(Dialer{Token: "secret"})
	defer client.Close()
	client.stopLooking()
	for range 3 * idleLooks {
		require.NoError(t, client.Call(t.Context(), address, "Echo.Echo", &EchoArgs{}, &EchoArgs{}))
		client.lookOnce()
	}
	require.NotNil(t, client.linkTo(address))
	require.Zero(t, client.linkTo(address).quiet)
}

// silentServer answers the handshake and nothing after it.
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

func TestASilentConnectionIsReplaced(t *testing.T) {
	address := silentServer(t)
	client := NewClient(Dialer{Token: "secret"})
	defer client.Close()
	client.stopLooking()
	_, err := client.link(t.Context(), address)
	require.NoError(t, err)
	for range quietLooks - 1 {
		client.lookOnce()
	}
	require.NotNil(t, client.linkTo(address))
	client.lookOnce()
	require.Eventually(t, func() bool { return client.linkTo(address) == nil }, 20*time.Second, 10*time.Millisecond)
}
