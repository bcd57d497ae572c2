package httpconn

import (
	"context"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/wait"
)

const (
	// maxWitnessIdle is the longest idle time of a connection that is trusted to tell the end of its
	// peer: one that was idle for longer may be gone without a sign.
	maxWitnessIdle = 4 * time.Second
	// outlivedDialTimeout limits the time to establish a connection to a peer that may have ended. A
	// packet that is lost is sent again only after a second.
	outlivedDialTimeout = 150 * time.Millisecond
	// maxOutlivedProbes allows for one lost packet.
	maxOutlivedProbes = 2
	// minReplacementTime is the time within which no other process is at the address of one that has ended.
	minReplacementTime = time.Second
)

// ErrPeerMayBeReplaced means that the process that a new connection leads to may be a later one.
var ErrPeerMayBeReplaced = errors.New("a later process may have the address")

// Outlived returns nil if the process at address outlived the end of a connection that it has closed
// after aliveAt, and otherwise why that is not known. The end of a process closes all its connections at
// about the same time, but not at once: while one is closed, others that are open prove nothing. A peer that
// resets new connections lives; a proxy whose own peer ended may close them in good order. If the end of the
// connection was noticed late, a new connection may lead to a later process. Outlived takes at most 450 ms.
func (p *Pool) Outlived(ctx context.Context, address string, aliveAt time.Time) error {
	late := time.Since(aliveAt) > minReplacementTime
	witnesses := p.recentlyUsed(address, time.Now())
	if late {
		witnesses = slices.DeleteFunc(witnesses, func(c *conn) bool { return c.connectedAt.After(aliveAt) })
	}
	if len(witnesses) > 0 {
		wait.For(ctx, probeWait)
		if err := ctx.Err(); err != nil {
			return err
		}
		if keptOpen(witnesses) {
			return nil
		}
	}
	if late {
		return ErrPeerMayBeReplaced
	}
	var err error
	for range maxOutlivedProbes {
		err = p.probeWithin(ctx, address, outlivedDialTimeout)
		if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
			return err
		}
	}
	if errors.Is(err, syscall.ECONNRESET) {
		return nil // it has no room for connections, but still accepts them
	}
	return err
}

// keptOpen returns whether a connection is open and its peer has closed none. One that is in use again tells nothing.
func keptOpen(conns []*conn) bool {
	open := false
	for _, c := range conns {
		switch err := checkIdle(c.tcp); {
		case err == nil:
			open = true
		case !errors.Is(err, ErrUnexpectedBytes) && !errors.Is(err, net.ErrClosed):
			return false
		}
	}
	return open
}

// probeWithin is Probe with a limit for establishing the connection.
func (p *Pool) probeWithin(ctx context.Context, address string, limit time.Duration) error {
	dialing, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return p.probe(ctx, dialing, address)
}

// recentlyUsed returns the idle connections to address that were used a short time ago, also those that the peer has
// closed since.
func (p *Pool) recentlyUsed(address string, now time.Time) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*conn
	for _, c := range p.idle[address] {
		if now.Sub(c.idleSince) <= maxWitnessIdle {
			out = append(out, c)
		}
	}
	return out
}
