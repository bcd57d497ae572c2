package server

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newConnPair returns the two ends of a TCP connection.
func newConnPair(t *testing.T) (client, server net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	client, err = net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	server, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = client.Close(); _ = server.Close() })
	return client, server
}

func TestIdleConnectionWithPendingRequestStaysOpen(t *testing.T) {
	idle := newIdleConns()
	client, server := newConnPair(t)
	idle.onConnState(server, http.StateIdle)
	idle.idleSince[server] = time.Now().Add(-time.Hour)
	_, err := client.Write([]byte("G"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return hasPendingInput(server) }, time.Second, time.Millisecond)
	require.Zero(t, idle.closeIdle(time.Second))
}

func TestIdleConnectionIsClosedOnlyPastLimit(t *testing.T) {
	idle := newIdleConns()
	_, server := newConnPair(t)
	idle.onConnState(server, http.StateIdle)
	idle.idleSince[server] = time.Now().Add(-1200 * time.Millisecond)
	require.Zero(t, idle.closeIdle(time.Second), "a request sent just before the limit may still be in transit")
	idle.idleSince[server] = time.Now().Add(-1300 * time.Millisecond)
	require.Equal(t, 1, idle.closeIdle(time.Second))
}

func TestActiveConnectionIsNeverClosedAsIdle(t *testing.T) {
	idle := newIdleConns()
	_, server := newConnPair(t)
	idle.onConnState(server, http.StateNew)
	idle.idleSince[server] = time.Now().Add(-time.Hour)
	idle.onConnState(server, http.StateActive)
	require.Zero(t, idle.closeIdle(time.Second))
}

func TestPendingInputCheckDoesNotBlockOnReader(t *testing.T) {
	_, server := newConnPair(t)
	go func() { _, _ = server.Read(make([]byte, 1)) }()
	time.Sleep(10 * time.Millisecond) // let the read start
	done := make(chan bool, 1)
	go func() { done <- hasPendingInput(server) }()
	select {
	case pending := <-done:
		require.False(t, pending)
	case <-time.After(time.Second):
		t.Fatal("hasPendingInput blocked")
	}
}
