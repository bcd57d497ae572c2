package membership

import "time"

// The topics of rumours.
const (
	// TopicLeaving marks hosts and upstreams that are leaving.
	TopicLeaving Topic = "leaving"
	// TopicConfig tells the newest version of configuration.
	TopicConfig Topic = "config"
	// TopicPoison counts crashes of upstreams by the content of the request.
	TopicPoison Topic = "poison"
	// TopicLoad sums up the load of an owner's upstreams.
	TopicLoad Topic = "load"
)

// loadLife is how long a summary of load lives.
const loadLife = 30 * time.Second

// life returns how long a rumour of the topic lives.
func (t Topic) life() time.Duration {
	if t == TopicLoad {
		return loadLife
	}
	return DefaultRumourLife
}

// bulk reports whether rumours of the topic wait for all other news.
func (t Topic) bulk() bool {
	return t == TopicLoad
}
