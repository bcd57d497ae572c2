package httpconn

import (
	"bufio"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"mangoledge.example/mangoledge/internal/bounded"
)

const (
	// readBufferBytes is the read buffer's size: room for a response header and a few events.
	readBufferBytes = 4 << 10
	// headerBufferBytes is the initial buffer size for a request header.
	headerBufferBytes = 1 << 10
	// inlineBodyBytes is the size up to which a body is sent in one write with its header.
	inlineBodyBytes = 32 << 10
	// userTimeout is the TCP_USER_TIMEOUT: unacknowledged data closes the connection after this
	// time. Peers acknowledge within milliseconds.
	userTimeout = 2 * time.Second
	// keepAliveInterval and keepAliveProbes close an idle connection to an unresponsive peer
	// after about 5 s.
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
)

// conn is one TCP connection, used for one exchange at a time.
type conn struct {
	address string
	tcp     *net.TCPConn
	// reader buffers source.
	reader *bufio.Reader
	source *bounded.Reader
	// requests is the number of requests sent.
	requests int
	// connectedAt is when the connection was established.
	connectedAt time.Time
	// idleSince is when the last response ended; zero for a connection not used yet.
	idleSince time.Time
	// idleLimit is how long the peer keeps the connection idle; 0 if it did not say.
	idleLimit time.Duration
	// giveBack returns the connection's receive buffer to the pool's budget.
	giveBack func()
}

func newConn(address string, c *net.TCPConn) *conn {
	// Errors are ignored: without these options a dead peer is only detected later.
	_ = c.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable: true, Idle: 2 * keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
	})
	if raw, err := c.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
		})
	}
	source := bounded.NewReader(c)
	return &conn{address: address, tcp: c, source: source, reader: bufio.NewReaderSize(source, readBufferBytes), connectedAt: time.Now()}
}

// usable reports whether an idle connection can be used for another request.
func (c *conn) usable(now time.Time, maxIdle time.Duration) bool {
	idle := now.Sub(c.idleSince)
	return idle <= maxIdle && !c.expired(now) && c.noPendingInput()
}

// expired reports whether the peer may be about to close the idle connection.
func (c *conn) expired(now time.Time) bool {
	limit := defaultIdleLimit
	if c.idleLimit > 0 {
		limit = min(limit, c.idleLimit*idleLimitPercent/100)
	}
	return now.Sub(c.idleSince) > limit
}

// noPendingInput reports whether the peer has neither sent data nor closed the connection.
func (c *conn) noPendingInput() bool { return c.reader.Buffered() == 0 && NoPendingInput(c.tcp) }

// NoPendingInput reports whether nothing is pending on a connection, neither data nor its end.
// It does not block, and does not consume data.
func NoPendingInput(c *net.TCPConn) bool { return checkIdle(c) == nil }

// checkIdle returns nil if nothing is pending on a connection, io.EOF if the peer closed it in good
// order, ErrUnexpectedBytes if data is pending, and otherwise why the connection ended.
func checkIdle(c *net.TCPConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var one [1]byte
	var n int
	var receiveErr error
	err = raw.Control(func(fd uintptr) {
		n, _, receiveErr = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return err
	case errors.Is(receiveErr, syscall.EAGAIN):
		return nil
	case receiveErr != nil:
		return receiveErr
	case n == 0:
		return io.EOF
	}
	return ErrUnexpectedBytes
}

func (c *conn) close() {
	_ = c.tcp.Close()
	c.giveBack()
}
