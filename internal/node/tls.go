package node

import (
	"crypto/tls"
	"net"
	"time"

	"mangoledge.example/mangoledge/internal/tlsconf"
)

// secure puts TLS over a listener for callers or operators when the settings ask for it.
func (n *Node) secure(listener net.Listener) (net.Listener, error) {
	if n.settings.TLS == nil {
		return listener, nil
	}
	config, err := tlsconf.Server(n.settings.TLS.CertFile, n.settings.TLS.KeyFile, time.Now, n.logger)
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	return tls.NewListener(listener, config), nil
}
