package placement

import (
	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/routing"
)

// defaultLatencyWeight is the weight of the latency target while no configuration is in force.
const defaultLatencyWeight = 0.5

// SitePolicy chooses by cost, with the weights that the site has in force.
type SitePolicy struct {
	// Site is the configuration in force.
	Site config.View
}

// Choose returns the candidate with the least cost.
func (p SitePolicy) Choose(s *routing.Selection) *routing.Replica {
	latency := defaultLatencyWeight
	if site := p.Site.Current(); site != nil {
		latency = site.Weights.Latency
	}
	return routing.Cost{Weights: routing.WeightsFor(latency)}.Choose(s)
}
