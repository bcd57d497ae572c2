package server

import (
	"github.com/rcrowley/go-metrics"

	projectmetrics "mangoledge.example/mangoledge/internal/metrics"
)

// reportSpeeds logs the upstreams whose class of speed changed and sets the gauges of what was
// learnt of each service.
func (g *Gateway) reportSpeeds() {
	for _, c := range g.balancer.SpeedChanges() {
		g.logger.Info("upstream's speed class changed", "upstream", c.Upstream.ID, "born", c.Upstream.StartedAt,
			"service", c.Upstream.Service, "class", c.Class, "speed", c.Speed)
	}
	for service, s := range g.balancer.ServiceSpeeds() {
		g.setServiceGauge("gateway.service_base_us", service, s.Base.Microseconds())
		g.setServiceGauge("gateway.service_prefill_tokens_per_s", service, int64(s.PrefillRate))
		g.setServiceGauge("gateway.upstreams_faster", service, int64(s.Faster))
		g.setServiceGauge("gateway.upstreams_slower", service, int64(s.Slower))
	}
}

// setServiceGauge sets a gauge that has one value for each service.
func (g *Gateway) setServiceGauge(name, service string, value int64) {
	metrics.GetOrRegisterGauge(projectmetrics.Name(name, projectmetrics.Label{Name: "service", Value: service}), g.registry).Update(value)
}
