package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// maxFrameBytes is the largest message between nodes.
	maxFrameBytes = 256 << 20
	// readBufferBytes is the size of a connection's read buffer; larger frames bypass it.
	readBufferBytes = 1024
	// maxRetainedBytes is the largest frame buffer that a connection keeps for its next
	// frame.
	maxRetainedBytes = 8 << 10
	// maxPreallocBytes is the most memory that is allocated for a frame based on its
	// claimed length alone.
	maxPreallocBytes = 64 << 10
)

var errBadFrame = errors.New("bad frame of a connection between nodes")

// frameConn reads and writes messages, each prefixed with its length as a uvarint. One
// goroutine may read while another writes.
type frameConn struct {
	conn   io.ReadWriteCloser
	reader *bufio.Reader
	// frame is the last message read, unread its part that was not decoded yet.
	frame  bytes.Buffer
	unread []byte
	// limit bounds long frames; nil for no limit. leave gives back the memory of the last one.
	limit *frameLimit
	leave func()
}

func newFrameConn(conn io.ReadWriteCloser) *frameConn {
	return &frameConn{conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes), leave: func() {}}
}

// readFrame reads the next message. Beyond maxPreallocBytes, memory is only allocated as
// the bytes arrive, whatever length the message claims.
func (f *frameConn) readFrame() error {
	length, err := binary.ReadUvarint(f.reader)
	if err != nil {
		return err
	}
	if length > maxFrameBytes {
		return errors.Wrapf(errBadFrame, "%d bytes", length)
	}
	f.dropFrame()
	f.leave = f.limit.enter(length)
	if length > shortFrameBytes {
		f.setReadDeadline(time.Now().Add(longFrameTimeout))
		defer f.setReadDeadline(time.Time{})
	}
	f.frame.Grow(int(min(length, maxPreallocBytes)))
	if _, err := io.CopyN(&f.frame, f.reader, int64(length)); err != nil {
		f.dropFrame()
		return unexpectedEOF(err)
	}
	f.unread = f.frame.Bytes()
	return nil
}

// dropFrame ends the use of the last message, and frees its memory if it is long.
func (f *frameConn) dropFrame() {
	if f.frame.Cap() > maxRetainedBytes {
		f.frame = bytes.Buffer{}
	}
	f.frame.Reset()
	f.unread = nil
	f.leave()
}

// setReadDeadline sets the time at which a read fails, if there is a limit of frames and the connection supports it.
func (f *frameConn) setReadDeadline(at time.Time) {
	if c, ok := f.conn.(interface{ SetReadDeadline(time.Time) error }); ok && f.limit != nil {
		_ = c.SetReadDeadline(at)
	}
}

// unexpectedEOF turns an EOF within a frame into io.ErrUnexpectedEOF, to distinguish it
// from one between frames.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readUvarint reads a uvarint from the message.
func (f *frameConn) readUvarint() (uint64, error) {
	value, length := binary.Uvarint(f.unread)
	if length <= 0 {
		return 0, errors.Wrap(errBadFrame, "number")
	}
	f.unread = f.unread[length:]
	return value, nil
}

// readString reads a length-prefixed string from the message.
func (f *frameConn) readString() (string, error) {
	length, err := f.readUvarint()
	if err != nil {
		return "", err
	}
	if length > uint64(len(f.unread)) {
		return "", errors.Wrap(errBadFrame, "text")
	}
	out := string(f.unread[:length])
	f.unread = f.unread[length:]
	return out, nil
}

// decodeBody decodes the rest of the message, which is then dropped; a nil into discards it.
func (f *frameConn) decodeBody(into any) error {
	defer f.dropFrame()
	if into == nil {
		return nil
	}
	decoder := msgpack.GetDecoder()
	defer msgpack.PutDecoder(decoder)
	decoder.Reset(bytes.NewReader(f.unread))
	return decoder.Decode(into)
}

// writeFrame sends a header and a body as one message with a single write; a nil body is
// omitted.
func (f *frameConn) writeFrame(header []byte, body any) error {
	var message bytes.Buffer
	message.Write(make([]byte, binary.MaxVarintLen32))
	message.Write(header)
	if body != nil {
		if err := encodeBody(&message, body); err != nil {
			return err
		}
	}
	length := message.Len() - binary.MaxVarintLen32
	if length > maxFrameBytes {
		return errors.Wrapf(errBadFrame, "%d bytes", length)
	}
	prefix := binary.AppendUvarint(nil, uint64(length))
	data := message.Bytes()[binary.MaxVarintLen32-len(prefix):]
	copy(data, prefix)
	_, err := f.conn.Write(data)
	return err
}

func encodeBody(message *bytes.Buffer, body any) error {
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(message)
	encoder.UseCompactInts(true)
	encoder.SetOmitEmpty(true)
	return encoder.Encode(body)
}

// Close closes the connection.
func (f *frameConn) Close() error {
	return f.conn.Close()
}

// appendString appends a length-prefixed string.
func appendString(dst []byte, text string) []byte {
	dst = binary.AppendUvarint(dst, uint64(len(text)))
	return append(dst, text...)
}
