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
	// checkInterval is the time between two checks of the connections.
	checkInterval = time.Second
	// heartbeatChecks is the number of checks without a reply after which a heartbeat is
	// sent. Replies to calls also prove that a connection works.
	heartbeatChecks = 5
	// heartbeatTimeout is how long a heartbeat may take before its connection is replaced.
	heartbeatTimeout = 700 * time.Millisecond
	// retireGrace is how long calls in progress on a replaced connection may continue.
	retireGrace = 2 * time.Second
	// idleChecks is the number of checks without a reply to a call after which a
	// connection is closed.
	idleChecks = 30
)

// ErrTimeout is returned when a call had no reply by its deadline; it may have taken
// effect.
var ErrTimeout = errors.New("no answer from the node in time")

// Client calls other nodes. It keeps one connection to each address, checks it with
// heartbeats and replaces it when it stops answering.
//
// Lock order: Client.mu is a leaf; no call is made while it is held.
type Client struct {
	dialer Dialer

	mu sync.Mutex
	// links are the connections in use, by address.
	links map[string]*link
	// retired are the replaced connections that are closed after their grace period.
	retired map[*link]struct{}
	// monitoring is true once the monitor goroutine was started; it runs until done is
	// closed.
	monitoring bool
	closed     bool
	done       chan struct{}
	// running counts the client's goroutines; it is only added to under mu and before
	// closed is set.
	running sync.WaitGroup
}

// NewClient returns a client that connects through dialer.
func NewClient(dialer Dialer) *Client {
	return &Client{
		dialer:  dialer,
		links:   make(map[string]*link),
		retired: make(map[*link]struct{}),
		done:    make(chan struct{}),
	}
}

// Call calls method ("Service.Method") at address. The context must have a deadline. An
// error from the remote method is a *verdict.Error; after any other error the call may
// have taken effect, unless IsNotSent returns true. reply points to the result; after an
// error it is never written to, even when the reply arrives late.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	l, err := c.connect(ctx, address)
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

// Close closes all connections, including retired ones, and waits for the client's
// goroutines.
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

// connect returns the connection to address, dialling if there is none.
func (c *Client) connect(ctx context.Context, address string) (*link, error) {
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
	created := &link{rpc: rpc.NewClientWithCodec(newClientCodec(conn))}
	c.mu.Lock()
	if other, raced := c.links[address]; raced || c.closed {
		c.mu.Unlock()
		created.close()
		if raced {
			return other, nil
		}
		return nil, notSent(errors.New("the client is closed"))
	}
	c.links[address] = created
	if !c.monitoring {
		c.monitoring = true
		c.running.Go(c.monitor)
	}
	c.mu.Unlock()
	return created, nil
}

// retire takes l out of use and closes it after a grace period for other calls in progress
// on it.
func (c *Client) retire(address string, l *link) {
	c.mu.Lock()
	if c.links[address] == l {
		delete(c.links, address)
		c.retired[l] = struct{}{}
		time.AfterFunc(retireGrace, func() { c.closeRetired(l) })
	}
	c.mu.Unlock()
}

// closeRetired closes l after its grace period.
func (c *Client) closeRetired(l *link) {
	c.mu.Lock()
	delete(c.retired, l)
	c.mu.Unlock()
	l.close()
}

// monitor checks all connections every checkInterval until the client is closed.
func (c *Client) monitor() {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.done:
			return
		case <-ticker.C:
			c.checkLinks()
		}
	}
}

// checkLinks closes idle connections and sends heartbeats on those without a recent reply.
func (c *Client) checkLinks() {
	c.mu.Lock()
	links := maps.Clone(c.links)
	c.mu.Unlock()
	for address, l := range links {
		switch {
		case l.answered.Swap(0) > 0:
			l.unansweredChecks = 0
		case l.unansweredChecks == idleChecks:
			c.retire(address, l)
		default:
			l.unansweredChecks++
			if l.unansweredChecks%heartbeatChecks == 0 {
				c.start(func() { c.heartbeat(address, l) })
			}
		}
	}
}

// start runs f in a goroutine that Close waits for, unless the client is closed.
func (c *Client) start(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.running.Go(f)
	}
}
