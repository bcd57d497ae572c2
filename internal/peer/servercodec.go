package peer

import (
	"encoding/binary"
	"io"
	"net/rpc"

	"github.com/cockroachdb/errors"
)

// serverCodec is the rpc.ServerCodec that matches clientCodec.
type serverCodec struct {
	*frameConn
	// methods are the names received so far, by number.
	methods []string
}

var _ rpc.ServerCodec = (*serverCodec)(nil)

// newServerCodec returns the codec of a connection, whose long frames are bounded by limit; nil for no limit.
func newServerCodec(conn io.ReadWriteCloser, limit *frameLimit) *serverCodec {
	c := &serverCodec{frameConn: newFrameConn(conn)}
	c.limit = limit
	return c
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	if err := c.readFrame(); err != nil {
		return err
	}
	var err error
	if r.Seq, err = c.readUvarint(); err != nil {
		return err
	}
	r.ServiceMethod, err = c.readMethod()
	return err
}

// Close closes the connection. No call is being read then.
func (c *serverCodec) Close() error {
	c.leave()
	return c.frameConn.Close()
}

// readMethod reads a method's number, followed by its name if it is new.
func (c *serverCodec) readMethod() (string, error) {
	number, err := c.readUvarint()
	if err != nil {
		return "", err
	}
	known := uint64(len(c.methods))
	if number > known {
		return "", errors.Wrapf(errBadFrame, "method %d of %d", number, known)
	}
	if number == known {
		name, err := c.readString()
		if err != nil {
			return "", err
		}
		c.methods = append(c.methods, name)
	}
	return c.methods[number], nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error {
	return c.decodeBody(body)
}

// WriteResponse implements rpc.ServerCodec. An error response has no body.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	header := binary.AppendUvarint(nil, r.Seq)
	header = appendString(header, r.Error)
	if r.Error != "" {
		body = nil
	}
	return c.writeFrame(header, body)
}
