package grant

import (
	"bytes"
	"encoding/gob"

	"github.com/cockroachdb/errors"
)

// ErrBadSnapshot is returned for bytes that are no snapshot.
var ErrBadSnapshot = errors.New("bad snapshot of a witness table")

// Encode returns the snapshot's gob form. Gob checks lengths against the bytes
// that are there before it takes memory for them.
func (s *Snapshot) Encode() ([]byte, error) {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(s); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// DecodeSnapshot reads the form that Encode writes. The bytes may be anything.
func DecodeSnapshot(data []byte) (*Snapshot, error) {
	out := new(Snapshot)
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(out); err != nil {
		return nil, errors.Mark(err, ErrBadSnapshot)
	}
	for i := range out.Entries {
		if err := out.Entries[i].check(); err != nil {
			return nil, errors.Mark(errors.Wrapf(err, "entry %d", i), ErrBadSnapshot)
		}
	}
	return out, nil
}

// check returns what is inconsistent in the entry, or nil.
func (e *Entry) check() error {
	switch {
	case e.Record.Spec.ID.Random == "":
		return errors.New("no request ID")
	case e.Record.Spec.Idempotent && e.Slot.Taken:
		return errors.New("idempotent and granted")
	case !e.Slot.Taken && e.Slot.Holder != "":
		return errors.New("the holder of a free slot")
	}
	return nil
}
