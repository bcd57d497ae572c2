package peer

import (
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"
)

// link is one connection.
type link struct {
	rpc *rpc.Client
	// answered counts the calls that were answered since the last look.
	answered atomic.Int64
	// quiet counts the looks since an answer; only the goroutine that looks touches it.
	quiet int
	once  sync.Once
}

// heartbeat takes l out of use when the other end does not answer.
func (c *Client) heartbeat(address string, l *link) {
	if !l.ping() {
		c.retire(address, l)
	}
}

// ping reports whether the other end answers.
func (l *link) ping() bool {
	call := l.rpc.Go(pingMethod, &Ping{}, &Pong{}, make(chan *rpc.Call, 1))
	timer := time.NewTimer(heartbeatTimeout)
	defer timer.Stop()
	select {
	case <-call.Done:
		return call.Error == nil
	case <-timer.C:
		return false
	}
}

func (l *link) close() {
	l.once.Do(func() {
		_ = l.rpc.Close()
	})
}
