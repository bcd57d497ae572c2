package peer

import (
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"
)

// link is a connection to another node.
type link struct {
	rpc *rpc.Client
	// answered counts the calls that were answered since the last check.
	answered atomic.Int64
	// unansweredChecks counts the checks since the last reply; only the monitor goroutine
	// uses it.
	unansweredChecks int
	closeOnce        sync.Once
}

// heartbeat retires l if the other node does not answer a ping.
func (c *Client) heartbeat(address string, l *link) {
	if !l.ping() {
		c.retire(address, l)
	}
}

// ping reports whether the other node answers within heartbeatTimeout.
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
	l.closeOnce.Do(func() {
		_ = l.rpc.Close()
	})
}
