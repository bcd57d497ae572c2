package peers

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// bundle is a datagram with forwarded messages of several nodes.
type bundle []forwarded

// forwarded is an encoded message, with what identifies it: a receiver that has it already need
// not decode it.
type forwarded struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // read by the codec: a list in place of a map
	Node        string
	Incarnation string
	Sequence    uint64
	Data        []byte
}

// isBundle reports whether a datagram is a bundle, which is encoded as a list, and not a message,
// which is a map.
func isBundle(data []byte) bool {
	return len(data) > 0 && (msgpcode.IsFixedArray(data[0]) || data[0] == msgpcode.Array16 || data[0] == msgpcode.Array32)
}

// encode returns the bundle as a datagram.
func (b bundle) encode() ([]byte, error) {
	data, err := msgpack.Marshal(b)
	return data, errors.Wrap(err, "bundle of peer messages")
}

// decodeBundle decodes a datagram with forwarded messages. The messages in it are not decoded.
func decodeBundle(data []byte) (bundle, error) {
	// See decodeMessage.
	if err := msgpack.NewDecoder(bytes.NewReader(data)).Skip(); err != nil {
		return nil, errors.Wrap(err, "bundle of peer messages")
	}
	var b bundle
	err := msgpack.Unmarshal(data, &b)
	return b, errors.Wrap(err, "bundle of peer messages")
}
