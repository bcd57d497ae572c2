package membership

import (
	"bytes"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	// MaxPayloadBytes is the largest payload of a rumour.
	MaxPayloadBytes = 512
	// MaxKeyBytes is the longest key of a rumour.
	MaxKeyBytes = 128
	// DefaultRumourLife is how long a rumour lives when its topic says nothing else.
	DefaultRumourLife = 15 * time.Minute
)

// ErrRumourTooLarge is returned for a rumour whose key or payload is longer than allowed; it is not spread.
var ErrRumourTooLarge = errors.New("a rumour has a key of 1 to 128 bytes and a payload of at most 512 bytes")

// Topic names a kind of rumour.
type Topic string

// Rumour is a small fact that is spread to every member. Of one topic and key,
// the highest version wins on every node, whatever order they arrive in.
type Rumour struct {
	Topic   Topic
	Key     string
	Version uint64
	Payload []byte
}

// rumourName is what a rumour is about.
type rumourName struct {
	topic Topic
	key   string
}

func (r Rumour) name() rumourName {
	return rumourName{topic: r.Topic, key: r.Key}
}

// newer reports whether r wins over other. Two of one version are a fault of
// their writers; every node then keeps the same of the two.
func (r Rumour) newer(other Rumour) bool {
	if r.Version != other.Version {
		return r.Version > other.Version
	}
	return bytes.Compare(r.Payload, other.Payload) > 0
}

func (r Rumour) check() error {
	if r.Key == "" || len(r.Key) > MaxKeyBytes || len(r.Payload) > MaxPayloadBytes {
		return ErrRumourTooLarge
	}
	return nil
}

func (r Rumour) hash() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(string(r.Topic))
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(r.Key)
	version := r.Version
	for range 8 {
		_, _ = h.Write([]byte{byte(version)})
		version >>= 8
	}
	_, _ = h.Write(r.Payload)
	return h.Sum64()
}
