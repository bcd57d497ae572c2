package httpconn

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/wait"
)

const (
	// defaultIdleLimit is for how long an idle connection is kept when the peer does not say.
	defaultIdleLimit = 20 * time.Second
	// idleSharePercent is the part of the peer's own limit after which a connection
	// is not used: a request must not cross the peer's close.
	idleSharePercent = 70
	// dialTimeout bounds the set-up of a connection; peers are at most a few milliseconds away.
	dialTimeout = 800 * time.Millisecond
	// probeTime is within what time a proxy whose upstream is dead closes a connection
	// that it took, and an upstream one that it has no room for.
	probeTime = 50 * time.Millisecond
	// discardBytes and discardTime bound the rest of a body that is read so that its
	// connection can be used again: more costs more than a new connection.
	discardBytes = 4 << 10
	discardTime  = 20 * time.Millisecond
	// maxInformational is how many 1xx answers are read before the final one.
	maxInformational = 5
)

// Pool sends requests and keeps idle connections. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer

	mu   sync.Mutex
	idle map[string][]*conn

	dialed atomic.Int64
	reused atomic.Int64
}

// NewPool returns a pool without connections.
func NewPool() *Pool {
	return &Pool{dialer: net.Dialer{Timeout: dialTimeout, KeepAlive: -1}, idle: make(map[string][]*conn)}
}

// Dialed counts the connections that were made.
func (p *Pool) Dialed() int64 { return p.dialed.Load() }

// Reused counts requests that went over an idle connection.
func (p *Pool) Reused() int64 { return p.reused.Load() }

// Do sends a request once and reads the head of its answer. The caller ends the
// response. ctx bounds the exchange up to the end of the body.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	c, err := p.take(ctx, address, r.MaxIdle)
	if err != nil {
		return nil, &Error{Stage: StageDial, Cause: err}
	}
	if err := r.prepare(); err != nil {
		p.putBack(c)
		return nil, &Error{Stage: StagePrepare, Cause: err}
	}
	out := &Response{pool: p, conn: c, written: make(chan error, 1)}
	out.stop = context.AfterFunc(ctx, c.close)
	if err := out.write(r); err != nil {
		out.Abort()
		return nil, &Error{Sent: true, Stage: "write", Cause: causeOf(ctx, err)}
	}
	if err := out.readHead(r); err != nil {
		out.Abort()
		return nil, &Error{Sent: true, Stage: "read", Cause: causeOf(ctx, err)}
	}
	return out, nil
}

// causeOf prefers why ctx ended over the error of the connection that it closed.
func causeOf(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// take returns an idle connection or makes one.
func (p *Pool) take(ctx context.Context, address string, maxIdle time.Duration) (*conn, error) {
	for maxIdle > 0 {
		c := p.pop(address)
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

// Probe makes a connection, waits for a moment whether the peer closes it, and keeps it
// for later requests. An Error tells at which stage it failed.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := p.dial(ctx, address)
	if err != nil {
		return &Error{Stage: StageDial, Cause: err}
	}
	wait.For(ctx, probeTime)
	if !c.quiet() {
		c.close()
		return &Error{Stage: "idle", Cause: errors.New("the peer closed a new connection")}
	}
	p.put(c)
	return nil
}

// dial makes a connection.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	nc, err := p.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		_ = nc.Close()
		return nil, errors.Newf("connection to %s is no TCP connection", address)
	}
	p.dialed.Add(1)
	return newConn(address, tcp), nil
}

// pop takes the connection that was used last.
func (p *Pool) pop(address string) *conn {
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

// put keeps a connection whose peer was heard just now.
func (p *Pool) put(c *conn) {
	c.idleSince = time.Now()
	p.keep(c)
}

// putBack keeps a connection that was taken and not used: its peer has counted on.
func (p *Pool) putBack(c *conn) {
	if c.idleSince.IsZero() {
		c.idleSince = c.made
	}
	p.keep(c)
}

func (p *Pool) keep(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.address] = append(p.idle[c.address], c)
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		c.close()
	}
	delete(p.idle, address)
}

// Sweep closes connections that were idle for too long.
func (p *Pool) Sweep(now time.Time) {
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

// isInformational reports whether an answer precedes the final one.
func isInformational(r *http.Response) bool {
	return r.StatusCode >= 100 && r.StatusCode < 200
}
