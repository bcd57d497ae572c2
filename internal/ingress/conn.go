package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Conn is a connection in a ConnTable. It counts the bytes of request heads.
type Conn struct {
	*net.TCPConn
	table     *ConnTable
	address   string
	closeOnce sync.Once
	closeErr  error
	// trustOnce guards the larger receive buffer of another node.
	trustOnce sync.Once
	// writingSince is when the write in progress began, in nanoseconds since 1970; 0 if there is none.
	writingSince atomic.Int64
	// longAnswer is true while a long answer is written.
	longAnswer atomic.Bool

	// The following fields are guarded by the table's mutex.
	serving bool
	// since is when serving last changed.
	since time.Time
	// headBytes is the part of the next request's head that has arrived.
	headBytes int64
	// receiving is true while the body of a request arrives.
	receiving bool
	// buffer is the receive buffer that was granted, in bytes; 0 for none.
	buffer int64
}

// Read reads from the connection.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.TCPConn.Read(data)
	if n > 0 {
		c.table.addHeadBytes(c, n)
	}
	return n, err
}

// Write writes to the connection.
func (c *Conn) Write(data []byte) (int, error) {
	c.writingSince.Store(c.table.now().UnixNano())
	n, err := c.TCPConn.Write(data)
	c.writingSince.Store(0)
	return n, err
}

// SetLongAnswer records whether a long answer is written from now on.
func (c *Conn) SetLongAnswer(long bool) {
	if c != nil {
		c.longAnswer.Store(long)
	}
}

// Close closes the connection, once.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() {
		c.table.forget(c)
		c.closeErr = c.TCPConn.Close()
	})
	return c.closeErr
}

// reset closes the connection's socket at once. The server that reads from it gets an error, and closes
// it.
func (c *Conn) reset() { _ = c.TCPConn.Close() }

// startBody records that a body of the given length (negative if unknown) arrives from now on, and makes
// the receive buffer large enough for its size, as far as the budget allows.
func (c *Conn) startBody(length int64) {
	if c == nil {
		return
	}
	c.table.setReceiving(c, true)
	if length < 0 {
		length = maxReceiveBuffer
	}
	c.enlargeBuffer(length)
}

// enlargeBuffer makes the receive buffer large enough for length bytes, as far as the budget allows.
func (c *Conn) enlargeBuffer(length int64) {
	size := c.table.grantBuffer(c, length)
	if size == 0 {
		return
	}
	if socket, err := c.SyscallConn(); err == nil {
		_ = SetReceiveBuffer(socket, size) // fails only if it was closed meanwhile
	}
}

// endBody records that the body has arrived, or does not arrive any more.
func (c *Conn) endBody() {
	if c != nil {
		c.table.setReceiving(c, false)
	}
}

// Admitted returns the connection of a Listener that nc, which may be a TLS connection, uses; nil if there
// is none.
func Admitted(nc net.Conn) *Conn {
	if wrapper, ok := nc.(interface{ NetConn() net.Conn }); ok {
		nc = wrapper.NetConn()
	}
	c, _ := nc.(*Conn)
	return c
}

// OnState is a ConnState hook for an http.Server whose listener is a Listener.
func OnState(nc net.Conn, state http.ConnState) {
	c := Admitted(nc)
	if c == nil {
		return
	}
	switch state {
	case http.StateActive:
		c.table.setServing(c, true)
	case http.StateIdle:
		c.table.setServing(c, false)
	case http.StateNew, http.StateClosed, http.StateHijacked:
	}
}

// Listener admits connections by a ConnTable.
type Listener struct {
	net.Listener
	Table *ConnTable
}

// Listen opens a TCP listener for clients, whose connections have small receive buffers at first.
func Listen(ctx context.Context, config net.ListenConfig, network, address string, table *ConnTable) (*Listener, error) {
	config.Control = limitReceiveBuffer
	listener, err := config.Listen(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: listener, Table: table}, nil
}

// Accept returns the next connection that is admitted. Connections that are not are closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := nc.(*net.TCPConn)
		if !ok {
			return nc, nil
		}
		c := &Conn{TCPConn: tcp, table: l.Table, address: clientAddress(tcp)}
		if l.Table.admit(c) {
			return c, nil
		}
		_ = tcp.Close() // no request was read
	}
}

// clientAddress returns the IP address of a connection's client.
func clientAddress(c *net.TCPConn) string {
	if remote, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return remote.IP.String()
	}
	return c.RemoteAddr().String()
}
