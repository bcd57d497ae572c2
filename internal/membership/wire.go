package membership

import (
	"bytes"
	"math"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"mangoledge.example/mangoledge/internal/ident"
)

// The number of fields of what a datagram is made of. A later release may put
// further fields behind those of a header and of a record, as texts, bytes,
// numbers or flags; those of a record never change during one incarnation.
// A rumour has its payload for whatever else is to be told.
const (
	headerFields = 7
	recordFields = 11
	rumourFields = 5
)

const (
	// maxSurplusFields is the most fields beyond the known ones that are read.
	maxSurplusFields = 32
	// maxSurplusBytes is the most that those of one record may take.
	maxSurplusBytes = 256
)

// writer appends fields in msgpack. Writing to memory does not fail.
type writer struct {
	encoder *msgpack.Encoder
	buffer  *bytes.Buffer
}

func (w writer) array(fields int)   { _ = w.encoder.EncodeArrayLen(fields) }
func (w writer) text(value string)  { _ = w.encoder.EncodeString(value) }
func (w writer) number(v uint64)    { _ = w.encoder.EncodeUint(v) }
func (w writer) flag(value bool)    { _ = w.encoder.EncodeBool(value) }
func (w writer) bytes(value []byte) { _ = w.encoder.EncodeBytes(value) }
func (w writer) raw(value string)   { _, _ = w.buffer.WriteString(value) }

// encode returns what write writes.
func encode(write func(w writer)) []byte {
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	var buffer bytes.Buffer
	encoder.Reset(&buffer)
	write(writer{encoder: encoder, buffer: &buffer})
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

// array reads the start of an array and returns its length.
func (r *reader) array() int {
	if r.err != nil {
		return 0
	}
	length, err := r.decoder.DecodeArrayLen()
	r.fail(err)
	return length
}

// beyond returns how many fields an array of length has beyond the known ones.
func (r *reader) beyond(length, known int) int {
	if length < known || length > known+maxSurplusFields {
		r.fail(errors.Wrap(errBadDatagram, "number of fields"))
	}
	if r.err != nil {
		return 0
	}
	return length - known
}

// skip passes over so many fields of a later release.
func (r *reader) skip(fields int) {
	for range fields {
		r.skipOne()
	}
}

func (r *reader) skipOne() {
	if r.err != nil {
		return
	}
	code, err := r.decoder.PeekCode()
	r.fail(err)
	switch {
	case msgpcode.IsString(code) || msgpcode.IsBin(code):
		r.bytes()
	case code == msgpcode.True || code == msgpcode.False:
		r.flag()
	default:
		r.number(math.MaxUint64)
	}
}

// surplus reads so many fields of a later release and keeps them as they came.
func (r *reader) surplus(fields int) surplus {
	if fields == 0 {
		return surplus{}
	}
	start := r.position()
	r.skip(fields)
	length := r.position() - start
	if length > maxSurplusBytes {
		r.fail(errors.Wrap(errBadDatagram, "fields of a later release"))
	}
	if r.err != nil {
		return surplus{}
	}
	encoded := make([]byte, length)
	_, err := r.source.ReadAt(encoded, start)
	r.fail(err)
	return surplus{fields: fields, encoded: string(encoded)}
}

// position returns how many bytes of the datagram have been read.
func (r *reader) position() int64 {
	return r.source.Size() - int64(r.source.Len())
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
	surplus := r.beyond(r.array(), headerFields)
	h.Kind = kind(r.number(uint64(kindSyncBack)))
	h.From = r.incarnation()
	h.Seq = uint32(r.number(math.MaxUint32))
	h.Target = r.incarnation()
	h.Address = r.text()
	h.Digest = r.bytes()
	h.More = r.flag()
	r.skip(surplus)
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
	if length := r.array(); length != rumourFields {
		i.Record = new(record)
		i.LifeMs = i.Record.read(r, r.beyond(length, recordFields))
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
	w.array(recordFields + r.Details.Surplus.fields)
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
	w.number(uint64(r.Details.Protocol))
	w.raw(r.Details.Surplus.encoded)
}

// read reads a record that has so many fields beyond the known ones.
func (r *record) read(in *reader, surplus int) (lifeMs uint32) {
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
	lifeMs = uint32(in.number(math.MaxUint32))
	r.Details.Protocol = Protocol(in.number(math.MaxUint32))
	r.Details.Surplus = in.surplus(surplus)
	return lifeMs
}
