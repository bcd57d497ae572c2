package ingress

import (
	"context"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

const (
	// baseReceiveBuffer is the receive buffer of a client's connection, in bytes, until it sends a longer body.
	baseReceiveBuffer = 8 << 10
	// minReceiveBuffer and maxReceiveBuffer are the smallest and largest that are granted, in bytes.
	minReceiveBuffer = 4 << 10
	maxReceiveBuffer = 256 << 10
	// kernelBufferFactor is how many times the size that was set the kernel may hold.
	kernelBufferFactor = 2
	// grantDivisor is the part of the remaining budget that one grant takes, so that buffers shrink as more
	// connections have one.
	grantDivisor = 16
	// receiveBufferPercent is the part of a process's memory limit that grants may take, in percent, and
	// defaultReceiveBuffers, in bytes, what they take in a process without a limit.
	receiveBufferPercent  = 6
	defaultReceiveBuffers = 64 << 20
)

// ReceiveBuffers is a budget for bytes that the kernel has received and nobody has read yet: the buffers
// that connections get beyond their first one. It is safe for concurrent use.
type ReceiveBuffers struct {
	budget int64

	mu      sync.Mutex
	granted int64
}

// NewReceiveBuffers returns the budget of a process, from its memory limit in MB; 0 means no limit.
func NewReceiveBuffers(memoryMB int) *ReceiveBuffers {
	if memoryMB <= 0 {
		return &ReceiveBuffers{budget: defaultReceiveBuffers}
	}
	return &ReceiveBuffers{budget: int64(memoryMB) << 20 * receiveBufferPercent / 100}
}

// Grant returns the size of a receive buffer, in bytes: at most the wanted size, less the more of the
// budget is taken, and at least 4 KiB. The caller returns it with Return.
func (r *ReceiveBuffers) Grant(wanted int64) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	left := max(0, r.budget-r.granted)
	size := max(minReceiveBuffer, min(wanted, maxReceiveBuffer, left/grantDivisor/kernelBufferFactor))
	r.granted += size * kernelBufferFactor
	return size
}

// Dial opens a connection whose receive buffer is granted, at most the wanted size, and returned when it is
// closed. A nil budget grants the kernel's own size.
func (r *ReceiveBuffers) Dial(ctx context.Context, dialer net.Dialer, network, address string, wanted int64) (net.Conn, error) {
	if r == nil {
		return dialer.DialContext(ctx, network, address)
	}
	size := r.Grant(wanted)
	dialer.Control = func(_, _ string, socket syscall.RawConn) error { return SetReceiveBuffer(socket, size) }
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		r.Return(size)
		return nil, err
	}
	return &grantedConn{Conn: conn, giveBack: sync.OnceFunc(func() { r.Return(size) })}, nil
}

// grantedConn is a connection that returns its receive buffer when it is closed.
type grantedConn struct {
	net.Conn
	giveBack func()
}

// Close closes the connection.
func (c *grantedConn) Close() error {
	c.giveBack()
	return c.Conn.Close()
}

// Return returns a buffer whose connection is closed.
func (r *ReceiveBuffers) Return(size int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.granted -= size * kernelBufferFactor
}

// Granted returns the bytes that the kernel may hold in granted buffers.
func (r *ReceiveBuffers) Granted() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.granted
}

// SetReceiveBuffer sets the size of a socket's receive buffer. It must not make the buffer of a connection
// smaller: what its peer may send was announced. Where sockets don't support it, the kernel's own size
// applies, so the error is ignored.
func SetReceiveBuffer(socket syscall.RawConn, size int64) error {
	return socket.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, int(size))
	})
}

// limitReceiveBuffer is the Control hook of a net.ListenConfig: accepted connections inherit the buffer.
func limitReceiveBuffer(_, _ string, socket syscall.RawConn) error {
	return SetReceiveBuffer(socket, baseReceiveBuffer)
}
