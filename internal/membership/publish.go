package membership

import (
	"slices"
	"time"
)

// Publish spreads a rumour to all members and keeps it until its topic's life is
// over. Only a version higher than the one known is spread. Subscribers on this
// node are not called. It returns ErrRumourTooLarge.
func (c *Cluster) Publish(topic Topic, key string, version uint64, payload []byte) error {
	r := Rumour{Topic: topic, Key: key, Version: version, Payload: slices.Clone(payload)}
	if err := r.check(); err != nil {
		return err
	}
	c.do(func(now time.Time) {
		if c.core.rumours.join(now, r, topic.life()) {
			c.core.pushRumour(r)
		}
	})
	return nil
}

// Subscribe has f called, one call at a time, with the rumours of topic that are
// known and with each that arrives later.
func (c *Cluster) Subscribe(topic Topic, f func(Rumour)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notifier.onRumour(topic, f)
	for _, held := range c.core.rumours.held {
		if held.Topic == topic {
			c.notifier.rumourFor(held.Rumour, f)
		}
	}
}

// Stats returns what this member has counted.
func (c *Cluster) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.core.stats
}
