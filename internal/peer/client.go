package peer

import (
	"context"
	"maps"
	"net/rpc"
	"reflect"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// lookInterval is the time between two looks at a connection.
	lookInterval = time.Second
	// quietLooks is after how many looks without an answer a heartbeat is sent; an
	// answer to a call proves as much as one.
	quietLooks = 5
	// heartbeatTimeout is how long a heartbeat may take before its connection is replaced.
	heartbeatTimeout = 700 * time.Millisecond
	// retireGrace is how long calls in progress on a replaced connection may still go on.
	retireGrace = 2 * time.Second
	// idleLooks is after how many looks without an answer to a call a connection is closed.
	idleLooks = 30
)

// ErrTimeout is returned when a call had no answer by its deadline; it may have taken effect.
var ErrTimeout = errors.New("no answer from the node in time")

// Client calls other nodes. It keeps one connection to each address, proves it
// alive by heartbeats, and replaces it when it has gone silent.
//
// Lock order: Client.mu is a leaf; no call is made while it is held.
type Client struct {
	dialer Dialer

	mu sync.Mutex
	// links are the connections in use, by address.
	links map[string]*link
	// retired are the connections out of use that still have their grace period.
	retired map[*link]struct{}
	// looking is true once a goroutine looks at the connections; it does until done is closed.
	looking bool
	closed  bool
	done    chan struct{}
	// running are the goroutines of the client; they are added to under mu and not after closed.
	running sync.WaitGroup
}

// NewClient returns a client that dials by dialer.
func NewClient(dialer Dialer) *Client {
	return &Client{
		dialer:  dialer,
		links:   make(map[string]*link),
		retired: make(map[*link]struct{}),
		done:    make(chan struct{}),
	}
}

// Call calls method ("Service.Method") at address. The context must have a deadline.
// An error from the remote method is a *verdict.Error; any other error means
// that the call may or may not have taken effect, unless IsNotSent says so.
// reply points to what the answer goes to; after an error nothing writes to it,
// also when the answer comes late.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	l, err := c.link(ctx, address)
	if err != nil {
		return err
	}
	answer := reflect.New(reflect.TypeOf(reply).Elem())
	call := l.rpc.Go(method, args, answer.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		l.answered.Add(1)
		if call.Error == nil {
			reflect.ValueOf(reply).Elem().Set(answer.Elem())
		}
		if errors.Is(call.Error, rpc.ErrShutdown) {
			c.retire(address, l)
		}
		return decodeError(call.Error)
	case <-ctx.Done():
		c.retire(address, l)
		return errors.Mark(errors.Wrapf(ctx.Err(), "%s at %s", method, address), ErrTimeout)
	}
}

// Close closes every connection, also those in their grace period, and returns
// when nothing of the client runs any more.
func (c *Client) Close() {
	c.mu.Lock()
	links := slices.Collect(maps.Values(c.links))
	links = slices.AppendSeq(links, maps.Keys(c.retired))
	clear(c.links)
	clear(c.retired)
	if !c.closed {
		close(c.done)
	}
	c.closed = true
	c.mu.Unlock()
	for _, l := range links {
		l.close()
	}
	c.running.Wait()
}

// link returns the connection to address, dialling when there is none.
func (c *Client) link(ctx context.Context, address string) (*link, error) {
	c.mu.Lock()
	l, ok := c.links[address]
	closed := c.closed
	c.mu.Unlock()
	if ok {
		return l, nil
	}
	if closed {
		return nil, notSent(errors.New("the client is closed"))
	}
	conn, err := c.dialer.dialRPC(ctx, address)
	if err != nil {
		return nil, notSent(err)
	}
	fresh := &link{rpc: rpc.NewClientWithCodec(newClientCodec(conn))}
	c.mu.Lock()
	if other, raced := c.links[address]; raced || c.closed {
		c.mu.Unlock()
		fresh.close()
		if raced {
			return other, nil
		}
		return nil, notSent(errors.New("the client is closed"))
	}
	c.links[address] = fresh
	if !c.looking {
		c.looking = true
		c.running.Go(c.look)
	}
	c.mu.Unlock()
	return fresh, nil
}

// retire takes l out of use and closes it after a grace period for other calls on it.
func (c *Client) retire(address string, l *link) {
	c.mu.Lock()
	if c.links[address] == l {
		delete(c.links, address)
		c.retired[l] = struct{}{}
		time.AfterFunc(retireGrace, func() { c.drop(l) })
	}
	c.mu.Unlock()
}

// drop closes l, whose grace period is over.
func (c *Client) drop(l *link) {
	c.mu.Lock()
	delete(c.retired, l)
	c.mu.Unlock()
	l.close()
}

// look looks at all connections at an interval until the client is closed.
func (c *Client) look() {
	ticker := time.NewTicker(lookInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.done:
			return
		case <-ticker.C:
			c.lookOnce()
		}
	}
}

// lookOnce closes the connections that are idle and sends heartbeats on those
// that were quiet for a while.
func (c *Client) lookOnce() {
	c.mu.Lock()
	links := maps.Clone(c.links)
	c.mu.Unlock()
	for address, l := range links {
		switch {
		case l.answered.Swap(0) > 0:
			l.quiet = 0
		case l.quiet == idleLooks:
			c.retire(address, l)
		default:
			l.quiet++
			if l.quiet%quietLooks == 0 {
				c.start(func() { c.heartbeat(address, l) })
			}
		}
	}
}

// start runs f, which Close waits for, unless the client is closed.
func (c *Client) start(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.running.Go(f)
	}
}
