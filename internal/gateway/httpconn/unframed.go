package httpconn

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// tcpCloseWait is the state of a TCP connection that the peer has closed in good order.
const tcpCloseWait = 8

// errConnectionBroken means that a connection was reset, though reading from it gave an end of file:
// the system reports a reset only once, perhaps to the writer.
var errConnectionBroken = errors.New("the connection was reset")

// errRequestUnread means that a peer ended the connection before it had received the whole request.
var errRequestUnread = errors.New("the peer has not received the whole request")

// unframedBody is the body of a response that ends with its connection. An end of file is its end only
// if the peer closed the connection in good order after it had received the whole request.
type unframedBody struct {
	*PromptReader
	response *Response
}

// Read returns io.EOF only at the end of the response.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.PromptReader.Read(p)
	if errors.Is(err, io.EOF) {
		if broken := b.response.checkEndOfFile(); broken != nil {
			err = errors.Wrap(broken, "end of file inside an answer")
		}
	}
	return n, err
}

// checkEndOfFile returns why an end of file on the connection is not the end of the response.
func (r *Response) checkEndOfFile() error {
	if err := r.bodyWriter.wait(); err != nil {
		return err
	}
	raw, err := r.conn.tcp.SyscallConn()
	if err != nil {
		return err
	}
	var info *unix.TCPInfo
	var infoErr error
	if err := raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	}); err != nil {
		return err
	}
	if infoErr != nil {
		return infoErr
	}
	// The peer sends nothing after the end of the connection.
	r.endArrivedAt = time.Now().Add(-time.Duration(info.Last_ack_recv) * time.Millisecond)
	switch {
	case info.State != tcpCloseWait:
		return errConnectionBroken
	case info.Unacked > 0 || info.Notsent_bytes > 0:
		return errRequestUnread
	}
	return nil
}

// PeerAliveAt returns a time until which the peer of an unframed response had not closed the connection, as far as
// this node knows: the end of the connection may have waited to be read since then. The response has been read
// to its end.
func (r *Response) PeerAliveAt() time.Time {
	body, ok := r.Body.(*unframedBody)
	if !ok {
		return time.Now()
	}
	if aliveAt := body.AliveAt(); aliveAt.Before(r.endArrivedAt) {
		return aliveAt
	}
	return r.endArrivedAt
}
