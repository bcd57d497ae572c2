package grant

import (
	"bytes"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// ErrBadSnapshot is returned for bytes that are no snapshot.
var ErrBadSnapshot = errors.New("bad snapshot of a witness table")

// Encode returns the snapshot's MessagePack form.
func (s *Snapshot) Encode() ([]byte, error) {
	return msgpack.Marshal(s)
}

// DecodeSnapshot reads the form that Encode writes. The bytes may be anything.
func DecodeSnapshot(data []byte) (*Snapshot, error) {
	decoder := msgpack.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields(true)
	out := new(Snapshot)
	if err := decoder.Decode(out); err != nil {
		return nil, errors.Mark(err, ErrBadSnapshot)
	}
	if err := out.check(); err != nil {
		return nil, errors.Mark(err, ErrBadSnapshot)
	}
	return out, nil
}

// check returns what is inconsistent in the snapshot, or nil.
func (s *Snapshot) check() error {
	for i := range s.Entries {
		e := &s.Entries[i]
		if e.Record.Spec.ID.Random == "" {
			return errors.Newf("entry %d has no request ID", i)
		}
		if e.Record.Spec.Idempotent && e.Slot.Taken {
			return errors.Newf("entry %d is idempotent and granted", i)
		}
		if !e.Slot.Taken && e.Slot.Holder != "" {
			return errors.Newf("entry %d has a holder of a free slot", i)
		}
	}
	return nil
}
