package ending

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// maxOpenTime limits how long a connection that never ends stays open.
const maxOpenTime = 5 * time.Second

// Writer writes a response that stops as its Ending says. Each call of Write is a piece of the body.
type Writer struct {
	conn   net.Conn
	ending Ending
	// stopAt is the number of whole pieces before a stop between or inside pieces.
	stopAt  int
	pieces  int
	stopped bool
	failed  bool
}

// NewWriter writes the head of a response to conn: the status line and header lines in head, each with
// its line end, and the framing. length is the length of the body, or negative if it is not known;
// the response has chunks then in place of a length. A stop between or inside pieces comes after stopAt
// whole ones.
func NewWriter(conn net.Conn, e Ending, head string, length, stopAt int) *Writer {
	if e.Framing == WithLength && length < 0 {
		e.Framing = WithChunks
	}
	w := &Writer{conn: conn, ending: e, stopAt: stopAt}
	head += "Connection: close\r\n"
	switch e.Framing {
	case WithLength:
		head += "Content-Length: " + strconv.Itoa(length) + "\r\n"
	case WithChunks:
		head += "Transfer-Encoding: chunked\r\n"
	case Unframed:
	}
	head += "\r\n"
	if e.Stop == InsideHead {
		head = head[:len(head)*2/3]
	}
	w.stopped = e.Stop == InsideHead || e.Stop == AfterHead
	w.send(head)
	return w
}

// Respond takes the connection of a response with the status of e and header lines from the server and
// returns a Writer for it.
func Respond(w http.ResponseWriter, e Ending, header string, length, stopAt int) (*Writer, error) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, err
	}
	return NewWriter(conn, e, "HTTP/1.1 "+e.Status()+"\r\n"+header, length, stopAt), nil
}

// Write writes a piece of the body, as far as the response has not stopped. It fails once the peer is
// gone.
func (w *Writer) Write(piece []byte) (int, error) {
	if w.stopped {
		return len(piece), nil
	}
	text := string(piece)
	if w.pieces == w.stopAt {
		switch w.ending.Stop {
		case BetweenPieces:
			w.stopped = true
			return len(piece), nil
		case InsidePiece:
			w.stopped = true
			text = w.encode(text)
			w.send(text[:len(text)/2])
			return len(piece), w.err()
		case InsideLastEvent:
			w.stopped = true
			w.send(w.encode(text[:len(text)/2]) + w.lastChunk())
			return len(piece), w.err()
		case AtItsEnd, InsideHead, AfterHead, BeforeLastChunk:
		}
	}
	w.pieces++
	w.send(w.encode(text))
	return len(piece), w.err()
}

// Finish writes what ends the body after its last piece, and closes the connection as the Ending says.
// It returns true if the process must end too.
func (w *Writer) Finish() (endProcess bool) {
	if !w.stopped && w.ending.Stop != BeforeLastChunk {
		w.send(w.lastChunk())
	}
	switch w.ending.Close {
	case ByReset:
		if tcp, ok := w.conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // without it the connection ends in good order
		}
	case Never:
		_ = w.conn.SetReadDeadline(time.Now().Add(maxOpenTime))
		_, _ = io.Copy(io.Discard, w.conn) // the peer closes the connection, or time is over
	case WithProcess:
		return true
	case InGoodOrder:
	}
	_ = w.conn.Close()
	return false
}

// Whole reports whether all was written of a response that its peer can know to be complete.
func (w *Writer) Whole() bool { return w.ending.Whole() && !w.failed }

// Broken reports whether the peer must not take the response for complete.
func (w *Writer) Broken() bool { return w.ending.Broken() || w.failed }

// encode returns a piece as it is framed.
func (w *Writer) encode(piece string) string {
	if w.ending.Framing != WithChunks {
		return piece
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
}

// lastChunk returns what ends the body.
func (w *Writer) lastChunk() string {
	if w.ending.Framing != WithChunks {
		return ""
	}
	return "0\r\n\r\n"
}

// errPeerGone means that a write failed.
var errPeerGone = errors.New("the peer is gone")

func (w *Writer) err() error {
	if w.failed {
		return errPeerGone
	}
	return nil
}

func (w *Writer) send(text string) {
	if _, err := io.WriteString(w.conn, text); err != nil {
		w.failed = true
	}
}
