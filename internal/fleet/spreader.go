package fleet

import (
	"mangoledge.example/mangoledge/internal/membership"
)

// Spreader broadcasts marks between the nodes; *membership.Cluster implements it.
type Spreader interface {
	Publish(topic membership.Topic, key string, version uint64, payload []byte) error
	Subscribe(topic membership.Topic, f func(membership.Rumour))
}
