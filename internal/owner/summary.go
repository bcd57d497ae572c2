package owner

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/routing"
)

// SummaryBytes is the length of a summary's encoding, in bytes.
const SummaryBytes = 8

// ErrShortSummary is returned for input shorter than a summary.
var ErrShortSummary = errors.New("summary truncated: shorter than 8 bytes")

// PoolKey is a 32-bit hash of a pool's model or service.
type PoolKey uint32

// PoolKeyOf returns the key of pool.
func PoolKeyOf(pool routing.Pool) PoolKey {
	return PoolKey(xxhash.Sum64String(string(pool.Model)) ^ xxhash.Sum64String(string(pool.Service))*31)
}

// Summary is the load of an owner's upstreams of one pool.
type Summary struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Pool PoolKey
	// Slots is the number of slots of the owner's usable upstreams, capped at 65535.
	Slots uint16
	// InFlight is the number of requests that the owner counts there, capped at
	// 65535.
	InFlight uint16
}

// Free returns the number of free slots.
func (s Summary) Free() int {
	return max(0, int(s.Slots)-int(s.InFlight))
}

// Append appends the binary encoding of s to dst.
func (s Summary) Append(dst []byte) []byte {
	dst = binary.BigEndian.AppendUint32(dst, uint32(s.Pool))
	dst = binary.BigEndian.AppendUint16(dst, s.Slots)
	return binary.BigEndian.AppendUint16(dst, s.InFlight)
}

// DecodeSummary decodes the output of Summary.Append.
func DecodeSummary(data []byte) (Summary, error) {
	if len(data) < SummaryBytes {
		return Summary{}, ErrShortSummary
	}
	return Summary{
		Pool:     PoolKey(binary.BigEndian.Uint32(data)),
		Slots:    binary.BigEndian.Uint16(data[4:]),
		InFlight: binary.BigEndian.Uint16(data[6:]),
	}, nil
}
