package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// maxFrameBytes bounds one message between nodes.
	maxFrameBytes = 256 << 20
	// readBufferBytes is what a connection reads at once; longer frames are read past it.
	readBufferBytes = 1024
	// keptFrameBytes is the largest buffer that a connection keeps for its next frame.
	keptFrameBytes = 8 << 10
	// claimedFrameBytes is what is taken for a frame before more than its length has come.
	claimedFrameBytes = 64 << 10
)

var errBadFrame = errors.New("bad frame of a connection between nodes")

// frames reads and writes messages, each behind its length as a uvarint. One
// goroutine may read while another writes.
type frames struct {
	conn   io.ReadWriteCloser
	reader *bufio.Reader
	// frame is the message that was read last, rest what is unread of it.
	frame bytes.Buffer
	rest  []byte
}

func newFrames(conn io.ReadWriteCloser) *frames {
	return &frames{conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes)}
}

// next reads the next message. Beyond claimedFrameBytes, memory is taken as the
// bytes arrive, whatever length the message claims.
func (f *frames) next() error {
	length, err := binary.ReadUvarint(f.reader)
	if err != nil {
		return err
	}
	if length > maxFrameBytes {
		return errors.Wrapf(errBadFrame, "%d bytes", length)
	}
	if f.frame.Cap() > keptFrameBytes {
		f.frame = bytes.Buffer{}
	}
	f.frame.Reset()
	f.frame.Grow(int(min(length, claimedFrameBytes)))
	if _, err := io.CopyN(&f.frame, f.reader, int64(length)); err != nil {
		return unexpected(err)
	}
	f.rest = f.frame.Bytes()
	return nil
}

// unexpected tells an end within a frame from one between frames.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// number reads a uvarint of the message.
func (f *frames) number() (uint64, error) {
	value, length := binary.Uvarint(f.rest)
	if length <= 0 {
		return 0, errors.Wrap(errBadFrame, "number")
	}
	f.rest = f.rest[length:]
	return value, nil
}

// text reads a text of the message, which stands behind its length.
func (f *frames) text() (string, error) {
	length, err := f.number()
	if err != nil {
		return "", err
	}
	if length > uint64(len(f.rest)) {
		return "", errors.Wrap(errBadFrame, "text")
	}
	out := string(f.rest[:length])
	f.rest = f.rest[length:]
	return out, nil
}

// body decodes what is left of the message; nil discards it.
func (f *frames) body(into any) error {
	if into == nil {
		return nil
	}
	decoder := msgpack.GetDecoder()
	defer msgpack.PutDecoder(decoder)
	decoder.Reset(bytes.NewReader(f.rest))
	return decoder.Decode(into)
}

// write sends a message of a header and a body in one piece; a nil body is left out.
func (f *frames) write(header []byte, body any) error {
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
func (f *frames) Close() error {
	return f.conn.Close()
}

// appendText appends a text behind its length.
func appendText(dst []byte, text string) []byte {
	dst = binary.AppendUvarint(dst, uint64(len(text)))
	return append(dst, text...)
}
