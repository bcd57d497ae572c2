package exchange

import (
	"io"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/bounded"
	"mangoledge.example/mangoledge/internal/gateway/httpconn"
)

// errClientWrite means that a write to the client failed, for instance because it
// disconnected.
var errClientWrite = errors.New("writing to the client failed")

// responseBody is an upstream's response body. Its first bytes are buffered until the gateway has
// decided whether to forward the response or to retry the request.
type responseBody struct {
	reader io.Reader
	// length is the Content-Length, or negative if unknown.
	length int64
	// buffered holds the bytes of the body read so far and not yet forwarded; the entire body
	// if complete is true.
	buffered []byte
	complete bool
	// size is the number of body bytes read so far.
	size int64
}

// readBuffered buffers up to maxBufferedBytes bytes. It fails if the Content-Length exceeds
// maxResponseBytes.
func (b *responseBody) readBuffered() error {
	if b.length > maxResponseBytes {
		return errors.Wrapf(bounded.ErrTooLong, "an answer of %d bytes", b.length)
	}
	first, err := io.ReadAll(io.LimitReader(b.reader, maxBufferedBytes+1))
	if err != nil {
		return err
	}
	b.buffered, b.size = first, int64(len(first))
	b.complete = b.size <= maxBufferedBytes
	return nil
}

// total returns the length of the entire body, if known.
func (b *responseBody) total() (int64, bool) {
	if b.complete {
		return b.size, true
	}
	return b.length, b.length >= 0
}

// abortUnread aborts the response if a part of its body was not read; a complete one has ended.
func (b *responseBody) abortUnread(response *httpconn.Response) {
	if !b.complete {
		response.Abort()
	}
}

// copyRest copies the unbuffered rest of the body to the client as it arrives, up to
// maxResponseBytes in all. It reuses the memory of the buffered bytes as copy buffer.
func (b *responseBody) copyRest(client *clientWriter) error {
	rest := bounded.NewReader(b.reader)
	rest.SetLimit(maxResponseBytes - b.size)
	buffer := b.buffered[:cap(b.buffered)]
	b.buffered = nil
	for {
		n, err := rest.Read(buffer)
		b.size += int64(n)
		if n > 0 && client.write(buffer[:n]) != nil {
			return errClientWrite
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
