package cloud

import (
	"mangoledge.example/mangoledge/internal/ident"
)

// State is the state of a host in the cloud's books.
type State string

// The states of a host.
const (
	StateRunning    State = "running"
	StateReclaiming State = "reclaiming"
	StateTerminated State = "terminated"
)

// Host is one host in the cloud's books.
type Host struct {
	ID          ident.Host `json:"id"`
	ClientToken string     `json:"clientToken"`
	Pool
	State State `json:"state"`
	// Address is IP and port where an upstream on the host listens, or empty.
	Address      string  `json:"address"`
	PricePerHour float64 `json:"pricePerHour"`
	// ReclaimAtMs is when a reclaiming host is taken, in Unix milliseconds.
	ReclaimAtMs int64 `json:"reclaimAtMs"`
}
