package server

import (
	"net"
	"net/http"
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/gateway/httpconn"
	"mangoledge.example/mangoledge/internal/ingress"
)

// idleConns closes client connections that are idle for longer than the configuration in force
// allows; http.Server only supports a fixed timeout. It is safe for concurrent use.
type idleConns struct {
	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
}

func newIdleConns() *idleConns { return &idleConns{idleSince: make(map[net.Conn]time.Time)} }

// onConnState is the ConnState hook of the HTTP server.
func (i *idleConns) onConnState(c net.Conn, state http.ConnState) {
	ingress.OnState(c, state)
	i.mu.Lock()
	defer i.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		i.idleSince[c] = time.Now()
	case http.StateActive, http.StateClosed, http.StateHijacked:
		delete(i.idleSince, c)
	}
}

// idleLimitFactor is how many times its limit a connection may be idle: a client may use it up to
// the limit, and its request takes time to arrive.
const idleLimitFactor = 1.25

// closeIdle closes the connections that have been idle for longer than limit allows and have no
// unread request, and returns their number.
func (i *idleConns) closeIdle(limit time.Duration) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	closed := 0
	for c, since := range i.idleSince {
		if now.Sub(since) > time.Duration(idleLimitFactor*float64(limit)) && !hasPendingInput(c) {
			_ = c.Close()
			delete(i.idleSince, c)
			closed++
		}
	}
	return closed
}

// hasPendingInput reports whether a connection has unread bytes.
func hasPendingInput(c net.Conn) bool {
	if admitted, ok := c.(*ingress.Conn); ok {
		c = admitted.TCPConn
	}
	tcp, ok := c.(*net.TCPConn)
	return ok && !httpconn.NoPendingInput(tcp)
}
