package server

// registerIngressGauges exposes the memory of request bodies.
func (g *Gateway) registerIngressGauges() {
	g.RegisterGauge("gateway.body_bytes_held", func() int64 { return g.ingress.Usage().Held })
	g.RegisterGauge("gateway.body_bytes_peak", func() int64 { return g.ingress.Usage().Peak })
	g.RegisterGauge("gateway.bodies_arriving", func() int64 { return int64(g.ingress.Usage().Receiving) })
	g.RegisterGauge("gateway.bodies_without_memory", func() int64 { return g.ingress.Usage().Full })
	g.RegisterGauge("gateway.bodies_evicted", func() int64 { return g.ingress.Usage().Evicted })
}

// logIngressRefusals logs the bodies that were refused since the last call, in one line.
func (g *Gateway) logIngressRefusals() {
	u := g.ingress.Usage()
	refused := u.Full + u.Evicted
	if refused == g.ingressRefused {
		return
	}
	g.logger.Warn("request bodies refused for memory", "count", refused-g.ingressRefused, "full", u.Full, "evicted", u.Evicted,
		"held", u.Held, "peak", u.Peak, "arriving", u.Receiving)
	g.ingressRefused = refused
}
