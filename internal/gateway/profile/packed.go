package profile

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
)

// errPacked means that packed timings end inside a timing.
var errPacked = errors.New("packed timings are broken off")

// Pack returns timings in the form in which nodes send them: each as the upstream's hash and four
// variable-length numbers, about ten bytes.
func Pack(list []Timing) []byte {
	var out []byte
	for _, t := range list {
		out = binary.LittleEndian.AppendUint32(out, t.Upstream)
		for _, n := range [...]int{t.Tokens, t.Ahead, t.Open, t.Millis} {
			out = binary.AppendUvarint(out, uint64(max(n, 0))) //nolint:gosec // not negative
		}
	}
	return out
}

// Unpack returns packed timings, at most as many as a node sends. The numbers are not checked.
func Unpack(data []byte) ([]Timing, error) {
	var out []Timing
	for len(data) > 0 && len(out) < maxShared {
		if len(data) < 4 {
			return nil, errPacked
		}
		t := Timing{Upstream: binary.LittleEndian.Uint32(data)}
		data = data[4:]
		for _, field := range [...]*int{&t.Tokens, &t.Ahead, &t.Open, &t.Millis} {
			n, size := binary.Uvarint(data)
			if size <= 0 {
				return nil, errPacked
			}
			*field = int(min(n, maxPacked)) //nolint:gosec // at most maxPacked
			data = data[size:]
		}
		out = append(out, t)
	}
	return out, nil
}

// maxPacked bounds an unpacked number; it is beyond all that are taken into account.
const maxPacked = 1 << 30
