package fleet

import (
	"mangoledge.example/mangoledge/internal/membership"
)

// MarkBroadcaster broadcasts marks between the nodes; *membership.Cluster implements it.
type MarkBroadcaster interface {
	Publish(topic membership.Topic, key string, version uint64, payload []byte) error
	Subscribe(topic membership.Topic, f func(membership.Rumour))
}
