package balance

import (
	"math"
	"time"
)

const (
	// trafficWindow is the time constant of the averages of a node's traffic.
	trafficWindow = 3 * time.Second
	// tokensWeight is the smoothing weight of one request in the mean of uncached tokens.
	tokensWeight = 0.05
)

// traffic is what this node sends to one service.
type traffic struct {
	// count is the number of requests, each with a weight that decays over trafficWindow; at is when it
	// was last decayed.
	count float64
	at    time.Time
	// uncachedTokens is the mean number of prompt tokens that a request has to be prefilled.
	uncachedTokens float64
}

// trafficOf returns the traffic to the service, creating an empty one if needed.
func (b *Balancer) trafficOf(service string) *traffic {
	t := b.traffic[service]
	if t == nil {
		t = &traffic{}
		b.traffic[service] = t
	}
	return t
}

func (t *traffic) add(uncached int, now time.Time) {
	if t.at.IsZero() {
		t.uncachedTokens = float64(uncached)
	}
	t.count = t.decayed(now) + 1
	t.at = now
	t.uncachedTokens += tokensWeight * (float64(uncached) - t.uncachedTokens)
}

// rate returns the requests per second.
func (t *traffic) rate(now time.Time) float64 { return t.decayed(now) / trafficWindow.Seconds() }

func (t *traffic) decayed(now time.Time) float64 {
	return t.count * math.Exp(-now.Sub(t.at).Seconds()/trafficWindow.Seconds())
}
