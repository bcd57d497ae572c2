package config

// Weights are the site's weights for conflicting goals.
type Weights struct {
	// Latency is the weight of the latency target, from 0 to 1; the rest is the weight of cost.
	Latency float64 `json:"latency"`
}
