package peer

import (
	"encoding/binary"
	"io"
	"net/rpc"
)

// clientCodec is the caller's rpc.ClientCodec, with msgpack bodies. The first request for
// a method contains its name; later ones only contain the number that the name was given.
type clientCodec struct {
	*frameConn
	// methods maps the names already sent to their numbers. It needs no lock: net/rpc
	// writes one request at a time.
	methods map[string]uint64
}

var _ rpc.ClientCodec = (*clientCodec)(nil)

func newClientCodec(conn io.ReadWriteCloser) *clientCodec {
	return &clientCodec{frameConn: newFrameConn(conn), methods: make(map[string]uint64)}
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
		header = appendString(header, r.ServiceMethod)
	}
	if err := c.writeFrame(header, body); err != nil {
		return err
	}
	c.methods[r.ServiceMethod] = number
	return nil
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	if err := c.readFrame(); err != nil {
		return err
	}
	var err error
	if r.Seq, err = c.readUvarint(); err != nil {
		return err
	}
	r.Error, err = c.readString()
	return err
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseBody(body any) error {
	return c.decodeBody(body)
}
