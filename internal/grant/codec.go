package grant

import (
	"bytes"
	"encoding/gob"

	"github.com/cockroachdb/errors"
)

// ErrBadSnapshot is returned for data that does not decode to a valid snapshot.
var ErrBadSnapshot = errors.New("bad snapshot of a witness table")

// Encode returns the gob encoding of the snapshot. The gob decoder checks lengths
// against the available bytes before it allocates memory for them.
func (s *Snapshot) Encode() ([]byte, error) {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(s); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// DecodeSnapshot decodes what Encode writes and validates its entries. It is safe
// for untrusted data.
func DecodeSnapshot(data []byte) (*Snapshot, error) {
	out := new(Snapshot)
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(out); err != nil {
		return nil, errors.Mark(err, ErrBadSnapshot)
	}
	for i := range out.Entries {
		if err := out.Entries[i].validate(); err != nil {
			return nil, errors.Mark(errors.Wrapf(err, "entry %d", i), ErrBadSnapshot)
		}
	}
	return out, nil
}

// validate returns an error if the entry is inconsistent.
func (e *Entry) validate() error {
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
