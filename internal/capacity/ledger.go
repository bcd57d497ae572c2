package capacity

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/lease"
	"mangoledge.example/mangoledge/internal/platform/cloud"
	"mangoledge.example/mangoledge/internal/platform/objects"
)

// LedgerKind is the kind of the objects that store ledgers, one for each failure domain.
const LedgerKind objects.Kind = "capacity"

// Phase is the stage that an intent has reached. It advances in the order of the list below, except
// for a host that is taken over for another model: that goes from moving back to loading, or back
// to ready.
type Phase string

// The phases.
const (
	// PhaseStarting means that the host is to be started; it is saved before the cloud is asked.
	PhaseStarting Phase = "starting"
	// PhaseLoading means that the host exists but has not loaded its model yet.
	PhaseLoading Phase = "loading"
	// PhaseReady means that the host serves requests.
	PhaseReady Phase = "ready"
	// PhaseMoving means that the host gets no new work; when its work is done, another model
	// is loaded.
	PhaseMoving Phase = "moving"
	// PhaseLeaving means that the host gets no new work and is terminated after it has drained.
	PhaseLeaving Phase = "leaving"
)

// Intent is one host that the site wants or has, with the model it is to serve.
type Intent struct {
	// Token is the client token given to the cloud; it identifies the intent.
	Token   string        `json:"token"`
	Pool    cloud.Pool    `json:"pool"`
	Model   ident.Model   `json:"model"`
	Version ident.Version `json:"version,omitempty"`
	Phase   Phase         `json:"phase"`
	Host    ident.Host    `json:"host,omitempty"`
	Address string        `json:"address,omitempty"`
	// Loaded are the adapters that the host's engine was ordered to load.
	Loaded []ident.Adapter `json:"loaded,omitempty"`
	// Next is the model for which the host is being emptied, while moving.
	Next ident.Model `json:"next,omitempty"`
	// Fence is the fencing number of the holder that created the intent.
	Fence lease.Fence `json:"fence,omitempty"`
	// Role is the role that the engine should have, and OrderedRole the one last ordered.
	Role        ident.Role `json:"role,omitempty"`
	OrderedRole ident.Role `json:"orderedRole,omitempty"`
	// LeavingSinceMs is when the intent began to leave or move, in Unix milliseconds.
	LeavingSinceMs int64 `json:"leavingSinceMs,omitempty"`
	// PricePerHour is the price of the host when it was started.
	PricePerHour float64 `json:"pricePerHour,omitempty"`
}

// countsAsReplicaOf reports whether the intent is a replica of a model or is being emptied to
// become one.
func (i *Intent) countsAsReplicaOf(model ident.Model) bool {
	switch i.Phase {
	case PhaseLeaving:
		return false
	case PhaseMoving:
		return i.Next == model
	case PhaseStarting, PhaseLoading, PhaseReady:
	}
	return i.Model == model
}

// Ledger holds all intents of one failure domain.
type Ledger struct {
	FailureDomain ident.FailureDomain `json:"failureDomain"`
	Intents       []Intent            `json:"intents"`
	// version is the version of the stored object, or 0 if there is none yet.
	version objects.Version
}

// encode returns the object that replaces the ledger's version in the store.
func (l *Ledger) encode() (objects.Object, error) {
	spec, err := json.Marshal(l)
	if err != nil {
		return objects.Object{}, errors.Wrapf(err, "ledger of %s", l.FailureDomain)
	}
	return objects.Object{
		Kind:     LedgerKind,
		Metadata: objects.Metadata{Name: string(l.FailureDomain), ResourceVersion: l.version},
		Spec:     spec,
	}, nil
}

// decodeLedger decodes a ledger from its object.
func decodeLedger(object objects.Object) (*Ledger, error) {
	out := new(Ledger)
	if err := json.Unmarshal(object.Spec, out); err != nil {
		return nil, errors.Wrapf(err, "ledger of %s", object.Metadata.Name)
	}
	out.FailureDomain = ident.FailureDomain(object.Metadata.Name)
	out.version = object.Metadata.ResourceVersion
	return out, nil
}
