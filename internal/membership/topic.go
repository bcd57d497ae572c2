package membership

import "time"

// The topics of rumours.
const (
	// TopicLeaving announces hosts and upstreams that are leaving.
	TopicLeaving Topic = "leaving"
	// TopicConfig announces the newest version of the configuration.
	TopicConfig Topic = "config"
	// TopicPoison carries crashes of upstreams, counted by the content of the request.
	TopicPoison Topic = "poison"
	// TopicLoad carries the load of an owner's upstreams.
	TopicLoad Topic = "load"
)

// loadTTL is the TTL of a load summary.
const loadTTL = 30 * time.Second

// ttl returns how long a rumour of the topic is kept.
func (t Topic) ttl() time.Duration {
	if t == TopicLoad {
		return loadTTL
	}
	return DefaultRumourTTL
}

// lowPriority reports whether rumours of the topic are sent after all other broadcasts.
func (t Topic) lowPriority() bool {
	return t == TopicLoad
}
