package peer

import (
	"encoding/binary"
	"io"
	"net/rpc"
)

// clientCodec is the caller's end of a connection: an rpc.ClientCodec whose
// bodies are msgpack. A method's name is sent once and numbered from then on.
type clientCodec struct {
	*frames
	// methods are the numbers of the names that were sent; net/rpc writes one request at a time.
	methods map[string]uint64
}

var _ rpc.ClientCodec = (*clientCodec)(nil)

func newClientCodec(conn io.ReadWriteCloser) *clientCodec {
	return &clientCodec{frames: newFrames(conn), methods: make(map[string]uint64)}
}

// WriteRequest implements rpc.ClientCodec.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	header := binary.AppendUvarint(nil, r.Seq)
	number, known := c.methods[r.ServiceMethod]
	if !known {
		number = uint64(len(c.methods))
	}
	header = binary.AppendUvarint(header, number)
	if !known {
		header = appendText(header, r.ServiceMethod)
	}
	if err := c.write(header, body); err != nil {
		return err
	}
	c.methods[r.ServiceMethod] = number
	return nil
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	if err := c.next(); err != nil {
		return err
	}
	var err error
	if r.Seq, err = c.number(); err != nil {
		return err
	}
	r.Error, err = c.text()
	return err
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseBody(body any) error {
	return c.body(body)
}
