package fleet

import (
	"mangoledge.example/mangoledge/internal/membership"
)

// Spreader carries marks between the nodes; *membership.Cluster is one.
type Spreader interface {
	Publish(topic membership.Topic, key string, version uint64, payload []byte) error
	Subscribe(topic membership.Topic, f func(membership.Rumour))
}
