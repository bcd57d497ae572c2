package fleet

import (
	"mangoledge.example/mangoledge/internal/ident"
)

// State is the lifecycle state of an upstream.
type State string

// The states of an upstream.
const (
	// StateStarting upstreams accept no work yet.
	StateStarting State = "starting"
	// StateReady upstreams accept work.
	StateReady State = "ready"
	// StateLeaving upstreams accept no new work; their requests finish or are moved.
	StateLeaving State = "leaving"
	// StateGone upstreams no longer exist.
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
	// Slots is the number of requests that it runs concurrently.
	Slots int `json:"slots"`
	// PricePerHour is in units of the site's currency.
	PricePerHour float64 `json:"pricePerHour"`
	// Reclaimable is true when the platform may reclaim the host with seconds of notice.
	Reclaimable bool `json:"reclaimable"`
	// ChecksFencing is true when the upstream rejects orders with an outdated fencing number.
	ChecksFencing bool  `json:"checksFencing"`
	State         State `json:"state"`
}

// Serves reports whether model is loaded on the upstream.
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
	// Upstreams returns a snapshot, which callers must not modify.
	Upstreams() []Upstream
}
