package config

// Weights say what the site favours.
type Weights struct {
	// Latency weighs the latency target, from 0 to 1; cost has the rest.
	Latency float64 `json:"latency"`
}
