package server

// registerIngressGauges exposes the memory of request bodies and the client connections.
func (g *Gateway) registerIngressGauges() {
	g.RegisterGauge("gateway.body_bytes_held", func() int64 { return g.ingress.Usage().Held })
	g.RegisterGauge("gateway.body_bytes_peak", func() int64 { return g.ingress.Usage().Peak })
	g.RegisterGauge("gateway.bodies_arriving", func() int64 { return int64(g.ingress.Usage().Receiving) })
	g.RegisterGauge("gateway.bodies_without_memory", func() int64 { return g.ingress.Usage().Full })
	g.RegisterGauge("gateway.bodies_evicted", func() int64 { return g.ingress.Usage().Evicted })
	g.RegisterGauge("gateway.client_connections", func() int64 { return int64(g.clientConns.Usage().Conns) })
	g.RegisterGauge("gateway.client_connections_refused", func() int64 { return g.clientConns.Usage().Refused })
	g.RegisterGauge("gateway.client_connections_evicted", func() int64 { return g.clientConns.Usage().Evicted })
	g.RegisterGauge("gateway.receive_buffer_bytes_granted", g.receiveBuffers.Granted)
	g.RegisterGauge("gateway.head_bytes_held", func() int64 { return g.clientConns.Usage().HeadBytes })
}

// logIngressRefusals logs the bodies and connections that were refused since the last call, in one line.
func (g *Gateway) logIngressRefusals() {
	bodies, conns := g.ingress.Usage(), g.clientConns.Usage()
	refused := bodies.Full + bodies.Evicted + conns.Refused + conns.Evicted
	if refused == g.ingressRefused {
		return
	}
	g.logger.Warn("clients refused for memory or connections", "count", refused-g.ingressRefused,
		"bodies_full", bodies.Full, "bodies_evicted", bodies.Evicted, "bytes_held", bodies.Held, "bytes_peak", bodies.Peak,
		"connections", conns.Conns, "connections_refused", conns.Refused, "connections_evicted", conns.Evicted)
	g.ingressRefused = refused
}
