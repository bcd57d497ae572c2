package lease

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/objects"
)

// Kind is the kind of the objects that store leases, one for each leader task.
const Kind objects.Kind = "leases"

// Fence is a fencing number; it increases with each new holder of a lease.
type Fence uint64

// Record is the spec of a lease's object.
type Record struct {
	// Holder is the incarnation that holds the lease, or empty after a release.
	Holder ident.Incarnation `json:"holder"`
	// Fence is the fencing number of the holder, or of the previous holder after a release.
	Fence Fence `json:"fence"`
	// Renewal counts the holder's renewals, so that after a lost response the holder can tell
	// whether its write took effect.
	Renewal uint64 `json:"renewal"`
	// TTLMs is how long the lease is valid after a renewal, in milliseconds.
	TTLMs int64 `json:"ttlMs"`
}

// decodeRecord decodes the record of a lease from its object.
func decodeRecord(object objects.Object) (Record, error) {
	var out Record
	if err := json.Unmarshal(object.Spec, &out); err != nil {
		return out, errors.Wrapf(err, "lease %s", object.Metadata.Name)
	}
	return out, nil
}

// encode returns the object that replaces version base of the lease.
func (r Record) encode(name string, base objects.Version) (objects.Object, error) {
	spec, err := json.Marshal(r)
	if err != nil {
		return objects.Object{}, errors.Wrapf(err, "lease %s", name)
	}
	return objects.Object{Kind: Kind, Metadata: objects.Metadata{Name: name, ResourceVersion: base}, Spec: spec}, nil
}
