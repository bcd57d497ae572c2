package fleet

import (
	"mangoledge.example/mangoledge/internal/ident"
)

// State is what an upstream may be used for.
type State string

// The states of an upstream.
const (
	// StateStarting takes no work yet.
	StateStarting State = "starting"
	// StateReady takes work.
	StateReady State = "ready"
	// StateLeaving takes no new work and finishes or moves what it has.
	StateLeaving State = "leaving"
	// StateGone is no longer there.
	StateGone State = "gone"
)

// Upstream is one replica of a model or of a plain service.
type Upstream struct {
	ID ident.Upstream `json:"id"`
	// URL is the base URL, such as "http://127.0.0.1:9001".
	URL           string              `json:"url"`
	Host          ident.Host          `json:"host"`
	HostClass     ident.HostClass     `json:"hostClass"`
	Region        ident.Region        `json:"region"`
	FailureDomain ident.FailureDomain `json:"failureDomain"`
	// Models are the models loaded; empty for a plain service.
	Models   []ident.Model   `json:"models,omitempty"`
	Adapters []ident.Adapter `json:"adapters,omitempty"`
	// Service is the plain service, or empty for a model engine.
	Service ident.Service `json:"service,omitempty"`
	// Slots is how many requests it runs at once.
	Slots int `json:"slots"`
	// PricePerHour is in units of the site's currency.
	PricePerHour float64 `json:"pricePerHour"`
	// Reclaimable is true when the platform may take the host with seconds of notice.
	Reclaimable bool `json:"reclaimable"`
	// ChecksFencing is true when the upstream refuses orders with an old fencing number.
	ChecksFencing bool  `json:"checksFencing"`
	State         State `json:"state"`
}

// Serves reports whether the upstream can run work for model.
func (u *Upstream) Serves(model ident.Model) bool {
	for _, m := range u.Models {
		if m == model {
			return true
		}
	}
	return false
}

// View is the list of upstreams that a node knows.
type View interface {
	// Upstreams returns a snapshot; it must not be changed.
	Upstreams() []Upstream
}
