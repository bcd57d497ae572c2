package peer

import (
	"encoding/binary"
	"io"
	"net/rpc"

	"github.com/cockroachdb/errors"
)

// serverCodec is the answering end of a connection; see clientCodec.
type serverCodec struct {
	*frames
	// methods are the names that came, by their numbers.
	methods []string
}

var _ rpc.ServerCodec = (*serverCodec)(nil)

func newServerCodec(conn io.ReadWriteCloser) *serverCodec {
	return &serverCodec{frames: newFrames(conn)}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	if err := c.next(); err != nil {
		return err
	}
	var err error
	if r.Seq, err = c.number(); err != nil {
		return err
	}
	r.ServiceMethod, err = c.method()
	return err
}

// method reads a method's number, and its name when it is new.
func (c *serverCodec) method() (string, error) {
	number, err := c.number()
	if err != nil {
		return "", err
	}
	known := uint64(len(c.methods))
	if number > known {
		return "", errors.Wrapf(errBadFrame, "method %d of %d", number, known)
	}
	if number == known {
		name, err := c.text()
		if err != nil {
			return "", err
		}
		c.methods = append(c.methods, name)
	}
	return c.methods[number], nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error {
	return c.body(body)
}

// WriteResponse implements rpc.ServerCodec. A refused call has no body.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	header := binary.AppendUvarint(nil, r.Seq)
	header = appendText(header, r.Error)
	if r.Error != "" {
		body = nil
	}
	return c.write(header, body)
}
