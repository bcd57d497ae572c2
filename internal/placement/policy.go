package placement

import (
	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/routing"
)

// defaultLatencyWeight is the weight of the latency target while no configuration is
// in effect.
const defaultLatencyWeight = 0.5

// SitePolicy chooses by cost, with the weights of the site's current configuration.
type SitePolicy struct {
	// Site provides the current configuration.
	Site config.View
}

// Choose returns the candidate with the lowest cost.
func (p SitePolicy) Choose(s *routing.Selection) *routing.Replica {
	latency := defaultLatencyWeight
	if site := p.Site.Current(); site != nil {
		latency = site.Weights.Latency
	}
	return routing.CostPolicy{Weights: routing.WeightsFor(latency)}.Choose(s)
}
