package membership

import (
	"bytes"
	"math"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"mangoledge.example/mangoledge/internal/ident"
)

// The number of fields of what a datagram is made of.
const (
	headerFields = 7
	recordFields = 10
	rumourFields = 5
)

// writer appends fields in msgpack. Writing to memory does not fail.
type writer struct {
	encoder *msgpack.Encoder
}

func (w writer) array(fields int)   { _ = w.encoder.EncodeArrayLen(fields) }
func (w writer) text(value string)  { _ = w.encoder.EncodeString(value) }
func (w writer) number(v uint64)    { _ = w.encoder.EncodeUint(v) }
func (w writer) flag(value bool)    { _ = w.encoder.EncodeBool(value) }
func (w writer) bytes(value []byte) { _ = w.encoder.EncodeBytes(value) }

// encode returns what write writes.
func encode(write func(w writer)) []byte {
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	var buffer bytes.Buffer
	encoder.Reset(&buffer)
	write(writer{encoder: encoder})
	return buffer.Bytes()
}

// reader reads fields in msgpack. After the first error it returns zero values.
// It allocates no more than the datagram has left, whatever length a field claims.
type reader struct {
	decoder *msgpack.Decoder
	source  *bytes.Reader
	err     error
}

func (r *reader) fail(err error) {
	if r.err == nil && err != nil {
		r.err = errors.Mark(err, errBadDatagram)
	}
}

// array reads the start of an array of any of the lengths and returns the length.
func (r *reader) array(lengths ...int) int {
	if r.err != nil {
		return 0
	}
	got, err := r.decoder.DecodeArrayLen()
	r.fail(err)
	for _, wanted := range lengths {
		if got == wanted {
			return got
		}
	}
	r.fail(errors.Wrap(errBadDatagram, "number of fields"))
	return 0
}

func (r *reader) bytes() []byte {
	if r.err != nil {
		return nil
	}
	length, err := r.decoder.DecodeBytesLen()
	r.fail(err)
	if r.err != nil || length <= 0 {
		return nil
	}
	if length > r.source.Len() {
		r.fail(errors.Wrap(errBadDatagram, "length"))
		return nil
	}
	out := make([]byte, length)
	r.fail(r.decoder.ReadFull(out))
	return out
}

func (r *reader) text() string {
	return string(r.bytes())
}

func (r *reader) incarnation() ident.Incarnation {
	return ident.Incarnation(r.bytes())
}

// number reads a number of at most limit.
func (r *reader) number(limit uint64) uint64 {
	if r.err != nil {
		return 0
	}
	v, err := r.decoder.DecodeUint64()
	r.fail(err)
	if v > limit {
		r.fail(errors.Wrap(errBadDatagram, "number"))
		return 0
	}
	return v
}

func (r *reader) flag() bool {
	if r.err != nil {
		return false
	}
	v, err := r.decoder.DecodeBool()
	r.fail(err)
	return v
}

func (h *header) write(w writer) {
	w.array(headerFields)
	w.number(uint64(h.Kind))
	w.text(string(h.From))
	w.number(uint64(h.Seq))
	w.text(string(h.Target))
	w.text(h.Address)
	w.bytes(h.Digest)
	w.flag(h.More)
}

func (h *header) read(r *reader) {
	r.array(headerFields)
	h.Kind = kind(r.number(uint64(kindSyncBack)))
	h.From = r.incarnation()
	h.Seq = uint32(r.number(math.MaxUint32))
	h.Target = r.incarnation()
	h.Address = r.text()
	h.Digest = r.bytes()
	h.More = r.flag()
}

func (i *item) write(w writer) {
	if i.Record != nil {
		i.Record.write(w, i.LifeMs)
		return
	}
	w.array(rumourFields)
	w.text(string(i.Rumour.Topic))
	w.text(i.Rumour.Key)
	w.number(i.Rumour.Version)
	w.bytes(i.Rumour.Payload)
	w.number(uint64(i.LifeMs))
}

func (i *item) read(r *reader) {
	if r.array(recordFields, rumourFields) == recordFields {
		i.Record = new(record)
		i.LifeMs = i.Record.read(r)
		return
	}
	i.Rumour = &Rumour{
		Topic:   Topic(r.text()),
		Key:     r.text(),
		Version: r.number(math.MaxUint64),
		Payload: r.bytes(),
	}
	i.LifeMs = uint32(r.number(math.MaxUint32))
}

func (r *record) write(w writer, lifeMs uint32) {
	w.array(recordFields)
	w.text(string(r.Incarnation))
	w.number(uint64(r.Refutation))
	w.number(uint64(r.flags()))
	w.number(uint64(r.Final))
	w.text(string(r.Successor))
	w.text(r.Details.PeerAddress)
	w.text(r.Details.CallerURL)
	w.text(string(r.Details.Region))
	w.text(string(r.Details.FailureDomain))
	w.number(uint64(lifeMs))
}

func (r *record) read(in *reader) (lifeMs uint32) {
	r.Incarnation = in.incarnation()
	r.Refutation = uint32(in.number(math.MaxUint32))
	flags := in.number(flagSuspected | flagDraining)
	r.Suspected = flags&flagSuspected != 0
	r.Draining = flags&flagDraining != 0
	r.Final = finality(in.number(uint64(finalLeft)))
	r.Successor = in.incarnation()
	r.Details.PeerAddress = in.text()
	r.Details.CallerURL = in.text()
	r.Details.Region = ident.Region(in.text())
	r.Details.FailureDomain = ident.FailureDomain(in.text())
	return uint32(in.number(math.MaxUint32))
}
