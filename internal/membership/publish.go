package membership

import (
	"slices"
	"time"
)

// Publish spreads a rumour to all members, which keep it for the TTL of its topic. It is
// spread only if version is higher than the known one. Subscribers on this node are not
// called. It returns ErrRumourTooLarge when the key or payload is invalid.
func (c *Cluster) Publish(topic Topic, key string, version uint64, payload []byte) error {
	r := Rumour{Topic: topic, Key: key, Version: version, Payload: slices.Clone(payload)}
	if err := r.validate(); err != nil {
		return err
	}
	c.runStep(func(now time.Time) {
		if c.core.rumours.merge(now, r, topic.ttl()) {
			c.core.broadcastRumour(r)
		}
	})
	return nil
}

// Subscribe registers f to be called, one call at a time, with all known rumours of topic
// and with each that arrives later.
func (c *Cluster) Subscribe(topic Topic, f func(Rumour)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notifier.addRumourCallback(topic, f)
	for _, stored := range c.core.rumours.entries {
		if stored.Topic == topic {
			c.notifier.queueRumourFor(stored.Rumour, f)
		}
	}
}

// Stats returns the counters of this member.
func (c *Cluster) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.stats
}
