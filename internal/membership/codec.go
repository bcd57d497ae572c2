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
	// maxDatagramBytes is the largest datagram, so that none is fragmented on the way.
	maxDatagramBytes = 1200
	// tagBytes is the length of the authentication tag that a datagram begins with.
	tagBytes = 16
	// keyLabel separates the key of datagrams from other uses of the peer token.
	keyLabel = "mangoledge membership datagram 1"
)

var (
	errNotAuthentic = errors.New("the datagram was not made with this site's peer token")
	errBadDatagram  = errors.New("the datagram can't be read")
)

// kind says what a datagram asks for.
type kind uint8

const (
	// kindNews only carries items.
	kindNews kind = iota
	// kindPing asks Target for a kindAck of the same Seq.
	kindPing
	// kindAck answers a kindPing or a kindPingFor.
	kindAck
	// kindPingFor asks the receiver to ping Target at Address and to pass the answer on.
	kindPingFor
	// kindSync asks for what the sender does not know, going by Digest.
	kindSync
	// kindSyncBack answers kindSync with the receiver's own Digest, after the items that differ.
	kindSyncBack
)

// header is the first part of a datagram; items follow it.
type header struct {
	Kind kind
	From ident.Incarnation
	Seq  uint32
	// Target is the incarnation that a ping is meant for, or that an ack is about.
	Target ident.Incarnation
	// Address is where Target is, in kindPingFor.
	Address string
	// Digest is set in kindSync and kindSyncBack.
	Digest digest
	// More is true in kindSyncBack when not all differences were sent.
	More bool
}

// item is one piece of news. One of Record and Rumour is set.
type item struct {
	Record *record
	Rumour *Rumour
	// LifeMs is how long the sender still holds it, in milliseconds; 0 for a record that has not ended.
	LifeMs uint32
}

// datagram is a decoded datagram.
type datagram struct {
	header
	items []item
}

// sealer authenticates datagrams with the site's peer token.
type sealer struct {
	key [sha256.Size]byte
}

func newSealer(token string) *sealer {
	mac := hmac.New(sha256.New, []byte(token))
	_, _ = mac.Write([]byte(keyLabel))
	s := new(sealer)
	mac.Sum(s.key[:0])
	return s
}

// seal puts the authentication tag into the first tagBytes of data.
func (s *sealer) seal(data []byte) {
	copy(data, s.tag(data[tagBytes:]))
}

// open returns what follows the authentication tag, or errNotAuthentic.
func (s *sealer) open(data []byte) ([]byte, error) {
	if len(data) < tagBytes {
		return nil, errNotAuthentic
	}
	body := data[tagBytes:]
	if !hmac.Equal(data[:tagBytes], s.tag(body)) {
		return nil, errNotAuthentic
	}
	return body, nil
}

func (s *sealer) tag(body []byte) []byte {
	mac := hmac.New(sha256.New, s.key[:])
	_, _ = mac.Write(body)
	return mac.Sum(nil)[:tagBytes]
}

// decode reads the body of a datagram.
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
	return out, out.check()
}

// mentions reports whether the datagram carries the record of incarnation.
func (d *datagram) mentions(incarnation ident.Incarnation) bool {
	for _, next := range d.items {
		if next.Record != nil && next.Record.Incarnation == incarnation {
			return true
		}
	}
	return false
}

func (d *datagram) check() error {
	if !ident.ValidIncarnation(d.From) {
		return errors.Wrap(errBadDatagram, "sender")
	}
	if len(d.Digest) != 0 && len(d.Digest) != digestBytes {
		return errors.Wrap(errBadDatagram, "digest")
	}
	for _, next := range d.items {
		if err := next.check(); err != nil {
			return err
		}
	}
	return nil
}

func (i item) check() error {
	switch {
	case i.Record != nil && !ident.ValidIncarnation(i.Record.Incarnation):
		return errors.Wrap(errBadDatagram, "incarnation")
	case i.Rumour != nil:
		return i.Rumour.check()
	}
	return nil
}
