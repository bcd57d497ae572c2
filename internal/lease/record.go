package lease

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/objects"
)

// Kind is the kind of the objects that hold leases, one for each duty.
const Kind objects.Kind = "leases"

// Fence is a fencing number; each new holder of a duty has a higher one.
type Fence uint64

// Record is the spec of a lease's object.
type Record struct {
	// Holder is the incarnation that holds the lease, or empty after a release.
	Holder ident.Incarnation `json:"holder"`
	// Fence is the number of the holder, or of the last one after a release.
	Fence Fence `json:"fence"`
	// Renewal counts the holder's renewals, so that a lost answer can be settled.
	Renewal uint64 `json:"renewal"`
	// TTLMs is for how long a renewal holds, in milliseconds.
	TTLMs int64 `json:"ttlMs"`
}

// decodeRecord reads a lease's object.
func decodeRecord(object objects.Object) (Record, error) {
	var out Record
	if err := json.Unmarshal(object.Spec, &out); err != nil {
		return out, errors.Wrapf(err, "lease %s", object.Metadata.Name)
	}
	return out, nil
}

// encode makes the object that replaces version base of the lease.
func (r Record) encode(name string, base objects.Version) (objects.Object, error) {
	spec, err := json.Marshal(r)
	if err != nil {
		return objects.Object{}, errors.Wrapf(err, "lease %s", name)
	}
	return objects.Object{Kind: Kind, Metadata: objects.Metadata{Name: name, ResourceVersion: base}, Spec: spec}, nil
}
