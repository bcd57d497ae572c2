package membership

import (
	"bytes"
	"math"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"mangoledge.example/mangoledge/internal/ident"
)

// The number of fields of each part of a datagram. A later release may append
// fields to a header or a record, as strings, bytes, numbers or booleans;
// those of a record must be constant for an incarnation.
// A rumour is extended through its payload.
const (
	headerFields = 7
	recordFields = 11
	rumourFields = 5
)

const (
	// maxUnknownFields is the most unknown fields that are accepted in a header or record.
	maxUnknownFields = 32
	// maxUnknownBytes is the most bytes that the unknown fields of one record may take.
	maxUnknownBytes = 256
)

// writer appends msgpack fields. Errors are ignored because writing to memory does not
// fail.
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

// encode returns the bytes that write writes.
func encode(write func(w writer)) []byte {
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	var buffer bytes.Buffer
	encoder.Reset(&buffer)
	write(writer{encoder: encoder, buffer: &buffer})
	return buffer.Bytes()
}

// reader reads msgpack fields. After the first error it returns zero values. It never
// allocates more than the rest of the datagram, whatever length a field claims.
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

// unknownCount returns how many fields an array of the given length has beyond the known
// ones.
func (r *reader) unknownCount(length, known int) int {
	if length < known || length > known+maxUnknownFields {
		r.fail(errors.Wrap(errBadDatagram, "wrong number of fields"))
	}
	if r.err != nil {
		return 0
	}
	return length - known
}

// skipFields skips unknown fields of a header.
func (r *reader) skipFields(fields int) {
	for range fields {
		r.skipField()
	}
}

func (r *reader) skipField() {
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

// unknownFields reads unknown fields of a record and keeps their encoding.
func (r *reader) unknownFields(fields int) unknownFields {
	if fields == 0 {
		return unknownFields{}
	}
	start := r.position()
	r.skipFields(fields)
	length := r.position() - start
	if length > maxUnknownBytes {
		r.fail(errors.Wrap(errBadDatagram, "unknown fields too long"))
	}
	if r.err != nil {
		return unknownFields{}
	}
	encoded := make([]byte, length)
	_, err := r.source.ReadAt(encoded, start)
	r.fail(err)
	return unknownFields{count: fields, encoded: string(encoded)}
}

// position returns how many bytes of the datagram's body have been read.
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
		r.fail(errors.Wrap(errBadDatagram, "a field is longer than the datagram"))
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

// number reads an unsigned integer and fails if it exceeds limit.
func (r *reader) number(limit uint64) uint64 {
	if r.err != nil {
		return 0
	}
	v, err := r.decoder.DecodeUint64()
	r.fail(err)
	if v > limit {
		r.fail(errors.Wrap(errBadDatagram, "a number is out of range"))
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
	unknown := r.unknownCount(r.array(), headerFields)
	h.Kind = kind(r.number(uint64(kindSyncReply)))
	h.From = r.incarnation()
	h.Seq = uint32(r.number(math.MaxUint32))
	h.Target = r.incarnation()
	h.Address = r.text()
	h.Digest = r.bytes()
	h.More = r.flag()
	r.skipFields(unknown)
}

func (i *item) write(w writer) {
	if i.Record != nil {
		i.Record.write(w, i.TTLMillis)
		return
	}
	w.array(rumourFields)
	w.text(string(i.Rumour.Topic))
	w.text(i.Rumour.Key)
	w.number(i.Rumour.Version)
	w.bytes(i.Rumour.Payload)
	w.number(uint64(i.TTLMillis))
}

func (i *item) read(r *reader) {
	if length := r.array(); length != rumourFields {
		i.Record = new(record)
		i.TTLMillis = i.Record.read(r, r.unknownCount(length, recordFields))
		return
	}
	i.Rumour = &Rumour{
		Topic:   Topic(r.text()),
		Key:     r.text(),
		Version: r.number(math.MaxUint64),
		Payload: r.bytes(),
	}
	i.TTLMillis = uint32(r.number(math.MaxUint32))
}

func (r *record) write(w writer, ttlMillis uint32) {
	w.array(recordFields + r.Details.UnknownFields.count)
	w.text(string(r.Incarnation))
	w.number(uint64(r.Refutation))
	w.number(uint64(r.flags()))
	w.number(uint64(r.Final))
	w.text(string(r.Successor))
	w.text(r.Details.PeerAddress)
	w.text(r.Details.CallerURL)
	w.text(string(r.Details.Region))
	w.text(string(r.Details.FailureDomain))
	w.number(uint64(ttlMillis))
	w.number(uint64(r.Details.Protocol))
	w.raw(r.Details.UnknownFields.encoded)
}

// read reads a record with the given number of unknown fields.
func (r *record) read(in *reader, unknown int) (ttlMillis uint32) {
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
	ttlMillis = uint32(in.number(math.MaxUint32))
	r.Details.Protocol = Protocol(in.number(math.MaxUint32))
	r.Details.UnknownFields = in.unknownFields(unknown)
	return ttlMillis
}
