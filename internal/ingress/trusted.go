package ingress

// trustedReceiveBuffer is the receive buffer of a connection of another node, in bytes.
const trustedReceiveBuffer = 1 << 20

// Trust gives, once, a connection whose peer is authenticated as another node a large receive buffer, outside the
// budget; nil is ignored.
func (c *Conn) Trust() {
	if c == nil {
		return
	}
	c.trustOnce.Do(func() {
		if socket, err := c.SyscallConn(); err == nil {
			_ = SetReceiveBuffer(socket, trustedReceiveBuffer) // fails only if it was closed meanwhile
		}
	})
}
