package httpconn

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"mangoledge.example/mangoledge/internal/bounded"
)

const (
	// readBufferBytes holds the head of an answer and a few events.
	readBufferBytes = 4 << 10
	// headBytes is room for a typical request head.
	headBytes = 1 << 10
	// inlineBodyBytes is up to which size a body goes out in one write with its head.
	inlineBodyBytes = 32 << 10
	// userTimeout is after how long unacknowledged bytes end a connection; peers answer within milliseconds.
	userTimeout = 2 * time.Second
	// keepAliveInterval and keepAliveProbes end a silent idle connection after about 5 s.
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
)

// conn is one connection.
type conn struct {
	address string
	net     *net.TCPConn
	// reader buffers what source lets through.
	reader *bufio.Reader
	source *bounded.Reader
	// made is when the connection was made.
	made time.Time
	// idleSince is when the last answer ended; zero for a new connection.
	idleSince time.Time
	// idleLimit is for how long the peer keeps the connection; 0 when it did not say.
	idleLimit time.Duration
}

func newConn(address string, c *net.TCPConn) *conn {
	// A connection without these options only notices a silent peer later.
	_ = c.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable: true, Idle: 2 * keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
	})
	if raw, err := c.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
		})
	}
	source := bounded.NewReader(c)
	return &conn{address: address, net: c, source: source, reader: bufio.NewReaderSize(source, readBufferBytes), made: time.Now()}
}

// usable reports whether an idle connection can carry another request.
func (c *conn) usable(now time.Time, maxIdle time.Duration) bool {
	idle := now.Sub(c.idleSince)
	return idle <= maxIdle && !c.expired(now) && c.quiet()
}

// expired reports whether the peer may be about to close the connection.
func (c *conn) expired(now time.Time) bool {
	limit := defaultIdleLimit
	if c.idleLimit > 0 {
		limit = min(limit, c.idleLimit*idleSharePercent/100)
	}
	return now.Sub(c.idleSince) > limit
}

// quiet reports whether the peer neither sent anything nor closed the connection.
func (c *conn) quiet() bool { return c.reader.Buffered() == 0 && Quiet(c.net) }

// Quiet reports whether nothing waits to be read from a connection, neither bytes
// nor its end. It does not wait for a reader of the connection.
func Quiet(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var one [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && quiet
}

func (c *conn) close() { _ = c.net.Close() }
