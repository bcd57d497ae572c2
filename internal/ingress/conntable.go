package ingress

import (
	"sync"
	"time"
)

// ConnTable holds the connections of one listener, and decides which of them give way when there are too
// many. It is safe for concurrent use.
type ConnTable struct {
	limits  ConnLimits
	buffers *ReceiveBuffers
	now     func() time.Time

	mu        sync.Mutex
	conns     map[*Conn]struct{}
	byAddress map[string]int
	headBytes int64
	// refused counts the connections that were closed at once, and evicted those closed for others.
	refused, evicted int64
}

// NewConnTable returns a table with the given limits, whose connections share a budget of receive buffers.
func NewConnTable(limits ConnLimits, buffers *ReceiveBuffers, now func() time.Time) *ConnTable {
	return &ConnTable{limits: limits, buffers: buffers, now: now, conns: make(map[*Conn]struct{}), byAddress: make(map[string]int)}
}

// ConnUsage is what a ConnTable holds, and has closed so far.
type ConnUsage struct {
	Conns     int
	HeadBytes int64
	// Refused counts the connections that were closed at once, Evicted those closed for others.
	Refused, Evicted int64
}

// Usage returns the current usage.
func (t *ConnTable) Usage() ConnUsage {
	t.mu.Lock()
	defer t.mu.Unlock()
	return ConnUsage{Conns: len(t.conns), HeadBytes: t.headBytes, Refused: t.refused, Evicted: t.evicted}
}

// admit takes in a connection. If there are too many, one gives way; if none may, admit returns false.
func (t *ConnTable) admit(c *Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	if len(t.conns) >= t.limits.Conns && !t.evictOne(func(other *Conn) bool { return other.mayGiveWay(now) }) {
		t.refused++
		return false
	}
	c.since = now
	t.conns[c] = struct{}{}
	t.byAddress[c.address]++
	return true
}

// mayGiveWay reports whether the connection may be closed for another: it serves no request, or its
// client has for some time neither sent its request whole nor taken the next part of its response. The caller
// holds the table's mutex.
func (c *Conn) mayGiveWay(now time.Time) bool {
	return !c.serving || c.receiving && now.Sub(c.since) >= evictionAge || c.stalled(now)
}

// stalled reports whether a write has been in progress for some time.
func (c *Conn) stalled(now time.Time) bool {
	since := c.writingSince.Load()
	return since != 0 && now.Sub(time.Unix(0, since)) >= evictionAge
}

// setServing records whether a connection serves a request from now on. If not, the head of the next one
// is yet to arrive.
func (t *ConnTable) setServing(c *Conn, serving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, found := t.conns[c]; !found {
		return
	}
	c.serving, c.receiving, c.since = serving, false, t.now()
	t.headBytes -= c.headBytes
	c.headBytes = 0
}

// setReceiving records whether the body of the request in progress arrives from now on.
func (t *ConnTable) setReceiving(c *Conn, receiving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.receiving = receiving
}

// grantBuffer returns the size of the larger receive buffer for a body of length bytes, or 0 if the connection
// keeps its buffer: it is large enough, has been granted before, or the budget is used up.
func (t *ConnTable) grantBuffer(c *Conn, length int64) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, found := t.conns[c]; !found || c.buffer > 0 || length <= kernelBufferFactor*baseReceiveBuffer {
		return 0
	}
	size := t.buffers.Grant(length)
	if size <= baseReceiveBuffer {
		t.buffers.Return(size) // no more than it has; its next body may get more
		return 0
	}
	c.buffer = size
	return size
}

// addHeadBytes records n bytes of a connection that serves no request. If all heads together are too
// long, heads give way.
func (t *ConnTable) addHeadBytes(c *Conn, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, found := t.conns[c]; !found || c.serving {
		return
	}
	c.headBytes += int64(n)
	t.headBytes += int64(n)
	for t.headBytes > t.limits.HeadBytes && t.evictOne(func(other *Conn) bool { return other.headBytes > 0 }) {
	}
}

// EvictStalledAnswer closes one of the connections whose clients have taken nothing of a long answer for some
// time.
func (t *ConnTable) EvictStalledAnswer() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.evictOne(func(c *Conn) bool { return c.longAnswer.Load() && c.stalled(now) })
}

// evictOne closes one of the connections that may give way, and reports whether there was any: of the
// address with the most connections, one whose head is open before an idle one, before one whose body
// arrives, before one whose client takes no response, and the oldest first.
func (t *ConnTable) evictOne(mayGive func(*Conn) bool) bool {
	var victim *Conn
	for c := range t.conns {
		if mayGive(c) && (victim == nil || t.givesWayBefore(c, victim)) {
			victim = c
		}
	}
	if victim == nil {
		return false
	}
	t.evicted++
	t.forgetLocked(victim)
	victim.reset()
	return true
}

// givesWayBefore reports whether c gives way before other.
func (t *ConnTable) givesWayBefore(c, other *Conn) bool {
	if x, y := t.byAddress[c.address], t.byAddress[other.address]; x != y {
		return x > y
	}
	if x, y := c.headBytes > 0, other.headBytes > 0; x != y {
		return x
	}
	if x, y := c.effort(), other.effort(); x != y {
		return x < y
	}
	return c.since.Before(other.since)
}

// effort ranks what is lost with a connection: nothing, a part of a request, or the answer to one.
func (c *Conn) effort() int {
	switch {
	case !c.serving:
		return 0
	case c.receiving:
		return 1
	}
	return 2
}

// forget removes a connection that is closed.
func (t *ConnTable) forget(c *Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgetLocked(c)
}

func (t *ConnTable) forgetLocked(c *Conn) {
	if _, found := t.conns[c]; !found {
		return
	}
	delete(t.conns, c)
	t.headBytes -= c.headBytes
	if c.buffer > 0 {
		t.buffers.Return(c.buffer)
	}
	if t.byAddress[c.address]--; t.byAddress[c.address] == 0 {
		delete(t.byAddress, c.address)
	}
}
