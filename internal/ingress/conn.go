package ingress

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Conn is a connection in a ConnTable. It counts the bytes of request heads.
type Conn struct {
	*net.TCPConn
	table     *ConnTable
	address   string
	closeOnce sync.Once
	closeErr  error

	// The following fields are guarded by the table's mutex.
	serving bool
	// since is when serving last changed.
	since time.Time
	// headBytes is the part of the next request's head that has arrived.
	headBytes int64
	// receiving is true while the body of a request arrives.
	receiving bool
}

// Read reads from the connection.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.TCPConn.Read(data)
	if n > 0 {
		c.table.addHeadBytes(c, n)
	}
	return n, err
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

// startBody records that a body arrives from now on.
func (c *Conn) startBody() {
	if c != nil {
		c.table.setReceiving(c, true)
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
