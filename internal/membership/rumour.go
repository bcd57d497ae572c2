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
	// DefaultRumourTTL is how long a rumour is kept unless its topic sets another TTL.
	DefaultRumourTTL = 15 * time.Minute
)

// ErrRumourTooLarge is returned for a rumour with an empty key, or with a key or payload
// that is too long.
var ErrRumourTooLarge = errors.New("rumour key must have 1 to 128 bytes and payload at most 512 bytes")

// Topic is the category of a rumour.
type Topic string

// Rumour is a small versioned value that gossip spreads to all members (rumour mongering).
// For each topic and key, all nodes keep the highest version regardless of the order of
// arrival.
type Rumour struct {
	Topic   Topic
	Key     string
	Version uint64
	Payload []byte
}

// rumourID identifies a rumour; versions of it replace each other.
type rumourID struct {
	topic Topic
	key   string
}

func (r Rumour) id() rumourID {
	return rumourID{topic: r.Topic, key: r.Key}
}

// supersedes reports whether r replaces other. Two different payloads of one version are a
// fault of their publishers; all nodes then keep the same one.
func (r Rumour) supersedes(other Rumour) bool {
	if r.Version != other.Version {
		return r.Version > other.Version
	}
	return bytes.Compare(r.Payload, other.Payload) > 0
}

func (r Rumour) validate() error {
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
