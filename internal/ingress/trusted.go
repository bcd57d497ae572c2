package ingress

// Trust gives, once, a connection whose peer is authenticated as another node a larger receive buffer, as far as the
// budget of its table allows; nil is ignored.
func (c *Conn) Trust() {
	if c != nil {
		c.trustOnce.Do(func() { c.enlargeBuffer(maxReceiveBuffer) })
	}
}
