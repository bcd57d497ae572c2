// Package bounded reads untrusted input with a limit on its size, so that the sender cannot
// make this process use an arbitrary amount of memory.
package bounded

import (
	"io"

	"github.com/cockroachdb/errors"
)

// MaxHeadBytes is the maximum size of a response head that is accepted from any sender; heads of
// the supported protocols have less than 1 KB.
const MaxHeadBytes = 32 << 10

// ErrTooLong is returned for input that exceeds its limit.
var ErrTooLong = errors.New("longer than its bound")

// ReadAll reads r to its end. If r has more than limit bytes, ReadAll returns ErrTooLong and no
// data, so that truncated input is never taken for complete input.
func ReadAll(r io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, errors.Wrapf(ErrTooLong, "over %d bytes", limit)
	}
	return data, nil
}

// Reader passes through a limited number of bytes and then fails with ErrTooLong.
type Reader struct {
	source io.Reader
	// remaining is how many bytes may still be read; a negative value means no limit.
	remaining int64
}

// NewReader returns a reader of source without a limit.
func NewReader(source io.Reader) *Reader { return &Reader{source: source, remaining: -1} }

// SetLimit sets how many more bytes may be read; a negative value removes the limit.
func (r *Reader) SetLimit(bytes int64) { r.remaining = bytes }

// Read reads from the source within the limit.
func (r *Reader) Read(p []byte) (int, error) {
	if r.remaining < 0 {
		return r.source.Read(p)
	}
	if r.remaining == 0 {
		return 0, ErrTooLong
	}
	n, err := r.source.Read(p[:min(int64(len(p)), r.remaining)])
	r.remaining -= int64(n)
	return n, err
}
