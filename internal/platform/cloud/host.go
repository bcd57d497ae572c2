package cloud

import (
	"mangoledge.example/mangoledge/internal/ident"
)

// State is the state of a host as recorded by the cloud.
type State string

// The states of a host.
const (
	StateRunning    State = "running"
	StateReclaiming State = "reclaiming"
	StateTerminated State = "terminated"
)

// Host is one host as recorded by the cloud.
type Host struct {
	ID          ident.Host `json:"id"`
	ClientToken string     `json:"clientToken"`
	Pool
	State State `json:"state"`
	// Address is the IP address and port on which an upstream on the host listens, or empty.
	Address      string  `json:"address"`
	PricePerHour float64 `json:"pricePerHour"`
	// ReclaimAtMs is when a host in StateReclaiming is reclaimed, in Unix milliseconds.
	ReclaimAtMs int64 `json:"reclaimAtMs"`
}
