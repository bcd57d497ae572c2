package exchange

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

const (
	// eventBufferBytes holds a few events; they are some tens of bytes long.
	eventBufferBytes = 4 << 10
	// maxEventBytes bounds one event, which holds a few tokens.
	maxEventBytes = 64 << 10
)

// errEventTooLong ends a stream whose event does not end.
var errEventTooLong = errors.Newf("an event over %d bytes", maxEventBytes)

// eventReader cuts a stream at the ends of its events and leaves their bytes as they are.
type eventReader struct {
	reader *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, eventBufferBytes)}
}

// next returns the bytes of one event with the empty line behind it, and its ID or
// "". At the end of the stream it returns what is left and io.EOF; bytes that are
// returned with another error are no whole event.
func (r *eventReader) next() (event []byte, id string, err error) {
	for {
		line, err := r.reader.ReadSlice('\n')
		event = append(event, line...)
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

// more reports whether bytes are there that were not returned yet.
func (r *eventReader) more() bool { return r.reader.Buffered() > 0 }
