package httpconn

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/ingress"
	"mangoledge.example/mangoledge/internal/wait"
)

const (
	// defaultIdleLimit is how long an idle connection is kept if the peer does not say.
	defaultIdleLimit = 20 * time.Second
	// idleLimitPercent is the percentage of the peer's own idle limit after which a connection
	// is not reused, so that a request does not cross the peer's close.
	idleLimitPercent = 70
	// dialTimeout limits the time to establish a connection; peers are at most a few
	// milliseconds away.
	dialTimeout = 800 * time.Millisecond
	// probeWait is how long a probe waits for a close: within that time a proxy whose upstream
	// is dead closes a connection that it accepted, and an upstream one that it has no room
	// for.
	probeWait = 50 * time.Millisecond
	// maxDiscardBytes and maxDiscardTime limit how much of an unneeded body is read in order to reuse
	// its connection: reading more costs more than a new connection.
	maxDiscardBytes = 4 << 10
	maxDiscardTime  = 20 * time.Millisecond
	// receiveBuffer is the wanted receive buffer of a connection, in bytes.
	receiveBuffer = 64 << 10
	// maxInformational is the number of 1xx responses read before the final one.
	maxInformational = 5
)

// ReceiveBuffers grants the receive buffers of connections, in bytes.
type ReceiveBuffers interface {
	// Grant returns the size of a buffer, at most the wanted one or a small minimum.
	Grant(wanted int64) int64
	// Return returns the buffer of a connection that is closed.
	Return(size int64)
}

// Pool sends requests and keeps idle connections for reuse. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer
	// buffers limits what peers may send before it is read; nil for the kernel's own sizes.
	buffers ReceiveBuffers

	mu   sync.Mutex
	idle map[string][]*conn

	dialed atomic.Int64
	reused atomic.Int64
}

// NewPool returns an empty pool, whose connections get their receive buffers from buffers if that is not nil.
func NewPool(buffers ReceiveBuffers) *Pool {
	return &Pool{buffers: buffers, dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: -1}, idle: make(map[string][]*conn)}
}

// Dialed returns the number of connections established.
func (p *Pool) Dialed() int64 { return p.dialed.Load() }

// Reused returns the number of requests sent over an idle connection.
func (p *Pool) Reused() int64 { return p.reused.Load() }

// Do sends a request once and reads the response header. The caller ends the response with
// Finish, Discard or Abort. Ending ctx closes the connection, also while the body is read.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	c, err := p.acquire(ctx, address, r.MaxIdle)
	if err != nil {
		return nil, &Error{Stage: StageDial, Cause: err}
	}
	if err := p.prepare(c, r); err != nil {
		return nil, &Error{Stage: StagePrepare, Cause: err}
	}
	if r.ResetOnClose {
		if err := c.tcp.SetLinger(0); err != nil {
			c.close()
			return nil, &Error{Stage: StagePrepare, Cause: err}
		}
	}
	c.requests++
	out := &Response{pool: p, conn: c}
	out.stopContext = context.AfterFunc(ctx, c.close)
	if err := out.write(r); err != nil {
		out.Abort()
		return nil, &Error{Sent: true, Stage: "write", Cause: contextCauseOr(ctx, err)}
	}
	if err := out.readHeader(r); err != nil {
		out.Abort()
		return nil, &Error{Sent: true, Stage: "read", Cause: contextCauseOr(ctx, err)}
	}
	return out, nil
}

// prepare prepares a request to be sent over c. If it must not be sent, c returns to the pool.
func (p *Pool) prepare(c *conn, r *Request) error {
	panicked := true
	defer func() {
		if panicked {
			c.close()
		}
	}()
	err := r.prepare()
	panicked = false
	if err != nil {
		p.releaseUnused(c)
	}
	return err
}

// contextCauseOr returns ctx's cause if ctx has ended, since err is then a consequence of
// closing the connection; else err.
func contextCauseOr(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// acquire returns a usable idle connection or establishes one.
func (p *Pool) acquire(ctx context.Context, address string, maxIdle time.Duration) (*conn, error) {
	for maxIdle > 0 {
		c := p.popIdle(address)
		if c == nil {
			break
		}
		if c.usable(time.Now(), maxIdle) {
			p.reused.Add(1)
			return c, nil
		}
		c.close()
	}
	return p.dial(ctx, address)
}

// Probe establishes a connection, waits probeWait to see whether the peer closes it, and keeps
// it for later requests. An Error tells at which stage it failed; if ctx ends meanwhile, the probe
// tells nothing and returns the error of ctx.
func (p *Pool) Probe(ctx context.Context, address string) error { return p.probe(ctx, ctx, address) }

// probe is Probe with a context of its own for establishing the connection.
func (p *Pool) probe(ctx, dialing context.Context, address string) error {
	c, err := p.dial(dialing, address)
	if err != nil {
		return &Error{Stage: StageDial, Cause: err}
	}
	wait.For(ctx, probeWait)
	if err = ctx.Err(); err != nil {
		c.close()
		return err
	}
	if err = checkIdle(c.tcp); err != nil {
		c.close()
		return &Error{Stage: StageIdle, Cause: errors.Wrap(err, "the peer did not keep a new connection")}
	}
	p.release(c)
	return nil
}

// dial establishes a connection.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	dialer, giveBack := p.limitedDialer()
	nc, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		giveBack()
		return nil, err
	}
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		_ = nc.Close()
		giveBack()
		return nil, errors.Newf("connection to %s is not a TCP connection", address)
	}
	p.dialed.Add(1)
	c := newConn(address, tcp)
	c.giveBack = giveBack
	return c, nil
}

// limitedDialer returns the dialer for one connection, and what returns its receive buffer, which may be
// called more than once.
func (p *Pool) limitedDialer() (dialer net.Dialer, giveBack func()) {
	dialer = p.dialer
	if p.buffers == nil {
		return dialer, func() {}
	}
	size := p.buffers.Grant(receiveBuffer)
	dialer.Control = func(_, _ string, socket syscall.RawConn) error { return ingress.SetReceiveBuffer(socket, size) }
	return dialer, sync.OnceFunc(func() { p.buffers.Return(size) })
}

// popIdle removes and returns the most recently used idle connection, or nil.
func (p *Pool) popIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// release returns a connection to the pool whose peer was active just now.
func (p *Pool) release(c *conn) {
	c.idleSince = time.Now()
	p.addIdle(c)
}

// releaseUnused returns a connection to the pool that was taken but not used. Its idle time
// continues, since the peer's idle timer was not reset.
func (p *Pool) releaseUnused(c *conn) {
	if c.idleSince.IsZero() {
		c.idleSince = c.connectedAt
	}
	p.addIdle(c)
}

// addIdle adds a connection to the idle ones.
func (p *Pool) addIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.address] = append(p.idle[c.address], c)
}

// CloseIdle closes the idle connections to address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		c.close()
	}
	delete(p.idle, address)
}

// CloseExpired closes connections that were idle for too long.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if c.expired(now) {
				c.close()
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}
