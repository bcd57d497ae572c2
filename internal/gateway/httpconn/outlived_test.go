package httpconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// poolWithIdleConns returns a pool that has used n connections to the server.
func poolWithIdleConns(t *testing.T, address string, n int) *Pool {
	t.Helper()
	pool := NewPool(nil)
	responses := make([]*Response, 0, n)
	for range n {
		response, err := pool.Do(t.Context(), address, &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, MaxIdle: time.Minute})
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		responses = append(responses, response)
	}
	for _, response := range responses {
		response.Finish()
	}
	return pool
}

func newTestServer(t *testing.T) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "body") }))
	t.Cleanup(server.Close)
	return server
}

func TestPeerWithAnOpenConnectionIsKnownToLiveWithoutANewOne(t *testing.T) {
	address := newTestServer(t).Listener.Addr().String()
	pool := poolWithIdleConns(t, address, 2)
	require.NoError(t, pool.Outlived(t.Context(), address, time.Now()))
	require.EqualValues(t, 2, pool.Dialed())
}

func TestPeerThatClosedItsIdleConnectionsIsAskedByANewOne(t *testing.T) {
	server := newTestServer(t)
	address := server.Listener.Addr().String()
	pool := poolWithIdleConns(t, address, 2)
	time.AfterFunc(10*time.Millisecond, server.CloseClientConnections)
	require.NoError(t, pool.Outlived(t.Context(), address, time.Now()))
	require.EqualValues(t, 3, pool.Dialed())
}

func TestPeerWhoseProcessEndedIsNotTakenForALivingOne(t *testing.T) {
	for _, delay := range []time.Duration{0, 5 * time.Millisecond, 20 * time.Millisecond} {
		for _, idle := range []int{0, 1, 3} {
			server := newTestServer(t)
			address := server.Listener.Addr().String()
			pool := poolWithIdleConns(t, address, idle)
			ended := make(chan struct{})
			time.AfterFunc(delay, func() { server.Close(); close(ended) })
			if delay == 0 {
				<-ended
			}
			require.Error(t, pool.Outlived(t.Context(), address, time.Now()), "%d idle connections, ended after %s", idle, delay)
		}
	}
}

// TestPeerThatClosesItsConnectionsOneByOneIsNotTakenForALivingOne guards against a process that is ending, whose
// connections are not closed all at once, and that seems to live by the last of them.
func TestPeerThatClosesItsConnectionsOneByOneIsNotTakenForALivingOne(t *testing.T) {
	var first net.Conn
	var mu sync.Mutex
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "body") }))
	server.Config.ConnState = func(c net.Conn, _ http.ConnState) {
		mu.Lock()
		defer mu.Unlock()
		if first == nil {
			first = c
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	pool := poolWithIdleConns(t, address, 3)
	require.Len(t, pool.recentlyUsed(address, time.Now()), 3)
	require.NoError(t, server.Listener.Close())
	mu.Lock()
	defer mu.Unlock()
	require.NoError(t, first.Close())
	require.ErrorIs(t, pool.Outlived(t.Context(), address, time.Now()), syscall.ECONNREFUSED)
}

// TestPeerIsNotTakenForALivingOneIfTheWaitForItsEndIsCut guards against a caller that is cancelled while its
// peer's process ends: the connections had no time to be closed.
func TestPeerIsNotTakenForALivingOneIfTheWaitForItsEndIsCut(t *testing.T) {
	for _, idle := range []int{0, 1} {
		address := newTestServer(t).Listener.Addr().String()
		pool := poolWithIdleConns(t, address, idle)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(probeWait/2, cancel)
		require.ErrorIs(t, pool.Outlived(ctx, address, time.Now()), context.Canceled, "%d idle connections", idle)
	}
}

func TestAddressThatRefusesConnectionsIsNotTakenForALivingPeer(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	began := time.Now()
	require.Error(t, NewPool(nil).Outlived(t.Context(), address, time.Now()))
	require.Less(t, time.Since(began), time.Second)
}

// TestLaterProcessAtTheAddressIsNotTakenForThePeer guards against a process that has the address of an ended one
// and is taken for it, when the end of the connection is noticed late.
func TestLaterProcessAtTheAddressIsNotTakenForThePeer(t *testing.T) {
	address := newTestServer(t).Listener.Addr().String()
	late := time.Now().Add(-2 * minReplacementTime)
	pool := poolWithIdleConns(t, address, 1)
	connected := time.Now()
	require.ErrorIs(t, pool.Outlived(t.Context(), address, late), ErrPeerMayBeReplaced, "the connection may be to a later process")
	require.EqualValues(t, 1, pool.Dialed(), "a new connection would prove nothing")
	time.Sleep(minReplacementTime + 10*time.Millisecond)
	require.NoError(t, pool.Outlived(t.Context(), address, connected), "the connection is older than the peer's last sign of life")
}

// TestEndThatWaitedToBeReadIsKnownToBeOld guards against the end of a response that seems to be new when it is read.
func TestEndThatWaitedToBeReadIsKnownToBeOld(t *testing.T) {
	const waited = 300 * time.Millisecond
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nbody")
		time.Sleep(waited)
		_ = conn.Close()
	}))
	t.Cleanup(server.Close)
	for _, late := range []bool{false, true} {
		began := time.Now()
		response, err := NewPool(nil).Do(t.Context(), server.Listener.Addr().String(), &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
		require.NoError(t, err)
		if late {
			time.Sleep(3 * waited)
		}
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		if aliveAt := response.PeerAliveAt(); late {
			require.True(t, aliveAt.Before(began.Add(2*waited)), aliveAt.Sub(began))
		} else {
			require.False(t, aliveAt.Before(began.Add(waited/2)), aliveAt.Sub(began))
		}
		response.Finish()
	}
}
