// Package bounded reads what others send without letting them decide how much memory it takes.
package bounded

import (
	"io"

	"github.com/cockroachdb/errors"
)

// HeadBytes is the longest head of an answer that is taken from anyone; those that the
// protocols know have less than 1 KB.
const HeadBytes = 32 << 10

// ErrTooLong is returned for what is longer than its bound.
var ErrTooLong = errors.New("longer than its bound")

// ReadAll reads r to its end. When there are more than limit bytes it returns ErrTooLong,
// so that a part is never taken for the whole.
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

// Reader lets so many bytes through as it is given, and then fails with ErrTooLong.
type Reader struct {
	source io.Reader
	// left is how many bytes may still be read; below 0 there is no bound.
	left int64
}

// NewReader returns a reader of source without a bound.
func NewReader(source io.Reader) *Reader { return &Reader{source: source, left: -1} }

// Allow sets how many more bytes may be read; below 0 any number.
func (r *Reader) Allow(bytes int64) { r.left = bytes }

// Read reads from the source within the bound.
func (r *Reader) Read(p []byte) (int, error) {
	if r.left < 0 {
		return r.source.Read(p)
	}
	if r.left == 0 {
		return 0, ErrTooLong
	}
	n, err := r.source.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, err
}
