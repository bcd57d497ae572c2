package capacity

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/lease"
	"mangoledge.example/mangoledge/internal/platform/cloud"
	"mangoledge.example/mangoledge/internal/platform/objects"
)

// LedgerKind is the kind of the objects that hold ledgers, one for each failure domain.
const LedgerKind objects.Kind = "capacity"

// Phase is how far an intent has come. It moves only downwards in this list, but for
// a host that is taken by another model: it goes from moving to loading again, or
// back to ready.
type Phase string

// The phases.
const (
	// PhaseStarting is written before the cloud is asked for the host.
	PhaseStarting Phase = "starting"
	// PhaseLoading has a host, which has not loaded its model yet.
	PhaseLoading Phase = "loading"
	// PhaseReady has a host that serves.
	PhaseReady Phase = "ready"
	// PhaseMoving takes no new work; when its work is done another model is loaded.
	PhaseMoving Phase = "moving"
	// PhaseLeaving takes no new work, and its host is ended after the drain.
	PhaseLeaving Phase = "leaving"
)

// Intent is one host that the site wants or has, with what it is for.
type Intent struct {
	// Token is the cloud's client token; it names the intent.
	Token   string          `json:"token"`
	Pool    cloud.Pool      `json:"pool"`
	Model   ident.Model     `json:"model"`
	Version ident.Version   `json:"version,omitempty"`
	Phase   Phase           `json:"phase"`
	Host    ident.Host      `json:"host,omitempty"`
	Address string          `json:"address,omitempty"`
	Loaded  []ident.Adapter `json:"loaded,omitempty"`
	// Next is the model that the host is emptied for, while moving.
	Next ident.Model `json:"next,omitempty"`
	// Fence is the fencing number under which the intent was made.
	Fence lease.Fence `json:"fence,omitempty"`
	// Role is what the engine is to be ordered to be, and OrderedRole what it was.
	Role        ident.Role `json:"role,omitempty"`
	OrderedRole ident.Role `json:"orderedRole,omitempty"`
	// LeavingSinceMs is when it began to leave or move, in Unix milliseconds.
	LeavingSinceMs int64 `json:"leavingSinceMs,omitempty"`
	// PricePerHour is the price when it was started.
	PricePerHour float64 `json:"pricePerHour,omitempty"`
}

// servesOrWill reports whether the intent is a replica of a model or is being emptied for it.
func (i *Intent) servesOrWill(model ident.Model) bool {
	switch i.Phase {
	case PhaseLeaving:
		return false
	case PhaseMoving:
		return i.Next == model
	case PhaseStarting, PhaseLoading, PhaseReady:
	}
	return i.Model == model
}

// Ledger is every intent of one failure domain.
type Ledger struct {
	FailureDomain ident.FailureDomain `json:"failureDomain"`
	Intents       []Intent            `json:"intents"`
	// version is the object's version, 0 when there is no object yet.
	version objects.Version
}

// encode makes the object that replaces the ledger's version.
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

// decodeLedger reads a ledger's object.
func decodeLedger(object objects.Object) (*Ledger, error) {
	out := new(Ledger)
	if err := json.Unmarshal(object.Spec, out); err != nil {
		return nil, errors.Wrapf(err, "ledger of %s", object.Metadata.Name)
	}
	out.FailureDomain = ident.FailureDomain(object.Metadata.Name)
	out.version = object.Metadata.ResourceVersion
	return out, nil
}
