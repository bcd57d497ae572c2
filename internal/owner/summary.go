package owner

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/routing"
)

// SummaryBytes is the length of a summary's encoding, in bytes.
const SummaryBytes = 8

// ErrShortSummary is returned for bytes that are no whole summary.
var ErrShortSummary = errors.New("a summary has 8 bytes")

// PoolKey is a short hash of a pool's name.
type PoolKey uint32

// KeyOf returns the key of pool.
func KeyOf(pool routing.Pool) PoolKey {
	return PoolKey(xxhash.Sum64String(string(pool.Model)) ^ xxhash.Sum64String(string(pool.Service))*31)
}

// Summary tells how full an owner's upstreams of one pool are.
type Summary struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Pool PoolKey
	// Slots is the room of the owner's usable upstreams.
	Slots uint16
	// InFlight is what the owner counts there.
	InFlight uint16
}

// Free returns how many more requests find a slot.
func (s Summary) Free() int {
	return max(0, int(s.Slots)-int(s.InFlight))
}

// Append appends the encoding for gossip to dst.
func (s Summary) Append(dst []byte) []byte {
	dst = binary.BigEndian.AppendUint32(dst, uint32(s.Pool))
	dst = binary.BigEndian.AppendUint16(dst, s.Slots)
	return binary.BigEndian.AppendUint16(dst, s.InFlight)
}

// DecodeSummary reads the encoding of a summary.
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
