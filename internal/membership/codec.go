package membership

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"mangoledge.example/mangoledge/internal/ident"
)

const (
	// maxDatagramBytes is the largest datagram sent; it avoids IP fragmentation.
	maxDatagramBytes = 1200
	// tagBytes is the length of the authentication tag at the start of a datagram.
	tagBytes = 16
	// keyLabel separates the datagram key from other uses of the peer token.
	keyLabel = "mangoledge membership datagram 1"
)

var (
	errNotAuthentic = errors.New("datagram was not authenticated with this site's peer token")
	errBadDatagram  = errors.New("malformed datagram")
)

// kind is the type of a datagram.
type kind uint8

const (
	// kindUpdates carries only items.
	kindUpdates kind = iota
	// kindPing requests a kindAck with the same Seq from Target.
	kindPing
	// kindAck answers a kindPing or a kindIndirectPing.
	kindAck
	// kindIndirectPing requests the receiver to ping Target at Address and to relay the
	// ack.
	kindIndirectPing
	// kindSync requests the items that differ from the sender's, as found by Digest.
	kindSync
	// kindSyncReply ends the answer to kindSync: it follows the differing items and has
	// the receiver's Digest.
	kindSyncReply
)

// header is the first part of a datagram, followed by items.
type header struct {
	Kind kind
	From ident.Incarnation
	Seq  uint32
	// Target is the incarnation that a ping is for or that an ack is about.
	Target ident.Incarnation
	// Address is Target's address in kindIndirectPing.
	Address string
	// Digest is set in kindSync, and in kindSyncReply if any bucket differed.
	Digest digest
	// More is true in kindSyncReply when not all differing items were sent.
	More bool
}

// item is one update: either Record or Rumour is set.
type item struct {
	Record *record
	Rumour *Rumour
	// TTLMillis is how long the sender still keeps the item; 0 for a record that has not
	// ended.
	TTLMillis uint32
}

// datagram is a decoded datagram.
type datagram struct {
	header
	items []item
}

// authenticator signs and verifies datagrams with a key derived from the site's peer
// token.
type authenticator struct {
	key [sha256.Size]byte
}

func newAuthenticator(token string) *authenticator {
	mac := hmac.New(sha256.New, []byte(token))
	_, _ = mac.Write([]byte(keyLabel))
	a := new(authenticator)
	mac.Sum(a.key[:0])
	return a
}

// sign writes the authentication tag into the first tagBytes of data.
func (a *authenticator) sign(data []byte) {
	copy(data, a.tag(data[tagBytes:]))
}

// verify checks the authentication tag and returns the body, or errNotAuthentic.
func (a *authenticator) verify(data []byte) ([]byte, error) {
	if len(data) < tagBytes {
		return nil, errNotAuthentic
	}
	body := data[tagBytes:]
	if !hmac.Equal(data[:tagBytes], a.tag(body)) {
		return nil, errNotAuthentic
	}
	return body, nil
}

func (a *authenticator) tag(body []byte) []byte {
	mac := hmac.New(sha256.New, a.key[:])
	_, _ = mac.Write(body)
	return mac.Sum(nil)[:tagBytes]
}

// decode parses and validates the body of a datagram.
func decode(body []byte) (*datagram, error) {
	if len(body) > maxDatagramBytes-tagBytes {
		return nil, errBadDatagram
	}
	source := bytes.NewReader(body)
	decoder := msgpack.GetDecoder()
	defer msgpack.PutDecoder(decoder)
	decoder.Reset(source)
	r := &reader{decoder: decoder, source: source}
	out := new(datagram)
	out.read(r)
	for r.err == nil && source.Len() > 0 {
		var next item
		next.read(r)
		out.items = append(out.items, next)
	}
	if r.err != nil {
		return nil, r.err
	}
	return out, out.validate()
}

// hasRecordOf reports whether the datagram contains a record of incarnation.
func (d *datagram) hasRecordOf(incarnation ident.Incarnation) bool {
	for _, next := range d.items {
		if next.Record != nil && next.Record.Incarnation == incarnation {
			return true
		}
	}
	return false
}

func (d *datagram) validate() error {
	if !ident.ValidIncarnation(d.From) {
		return errors.Wrap(errBadDatagram, "the sender is not a valid incarnation")
	}
	if len(d.Digest) != 0 && len(d.Digest) != digestBytes {
		return errors.Wrap(errBadDatagram, "wrong length of the digest")
	}
	for _, next := range d.items {
		if err := next.validate(); err != nil {
			return err
		}
	}
	return nil
}

func (i item) validate() error {
	switch {
	case i.Record != nil && !ident.ValidIncarnation(i.Record.Incarnation):
		return errors.Wrap(errBadDatagram, "a record is not of a valid incarnation")
	case i.Rumour != nil:
		return i.Rumour.validate()
	}
	return nil
}
