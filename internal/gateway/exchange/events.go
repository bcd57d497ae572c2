package exchange

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// eventBufferBytes is the read buffer's size; it holds several events of some tens of bytes
	// each.
	eventBufferBytes = 4 << 10
	// maxEventBytes limits one event, which carries a few tokens.
	maxEventBytes = 64 << 10
)

// errInsideEvent means that a stream ended inside an event, however it is framed.
var errInsideEvent = errors.Wrap(io.ErrUnexpectedEOF, "inside an event")

// errEventTooLong is returned for an event longer than maxEventBytes.
var errEventTooLong = errors.Newf("event exceeds %d bytes", maxEventBytes)

// eventReader splits a server-sent event stream into its events, without changing their bytes.
type eventReader struct {
	reader *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, eventBufferBytes)}
}

// next returns the bytes of the next event, including the blank line that ends it, and the
// event's ID or "". At the end of the stream it returns io.EOF, or errInsideEvent if the stream
// ends inside an event. Bytes returned with an error are an incomplete event.
func (r *eventReader) next() (event []byte, id string, err error) {
	for {
		line, err := r.reader.ReadSlice('\n')
		event = append(event, line...)
		if errors.Is(err, io.EOF) && len(event) > 0 {
			return event, id, errInsideEvent
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return event, id, err
		}
		if len(event) > maxEventBytes {
			return event, id, errEventTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return event, id, nil
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
}

// hasBuffered reports whether unread bytes are already buffered.
func (r *eventReader) hasBuffered() bool { return r.reader.Buffered() > 0 }
