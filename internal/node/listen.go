package node

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/ingress"
	"mangoledge.example/mangoledge/internal/peer"
	"mangoledge.example/mangoledge/internal/tlsconf"
)

// listen opens a TCP listener whose connections conns admits; errors name the setting that the address comes
// from.
func listen(ctx context.Context, setting, address string, conns *ingress.ConnTable) (net.Listener, error) {
	listener, err := ingress.Listen(ctx, net.ListenConfig{}, "tcp", address, conns)
	if err != nil {
		return nil, errors.Wrap(err, setting)
	}
	return listener, nil
}

// listenExternal opens a listener for callers or operators, with TLS when it is configured.
func (n *Node) listenExternal(ctx context.Context, setting, address string, conns *ingress.ConnTable) (net.Listener, error) {
	listener, err := listen(ctx, setting, address, conns)
	if err != nil || n.settings.TLS == nil {
		return listener, err
	}
	config, err := tlsconf.ServerConfig(n.settings.TLS.CertFile, n.settings.TLS.KeyFile, time.Now, n.logger)
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	return tls.NewListener(listener, config), nil
}

// peerDialer returns the dialer for connections to other nodes. When TLS between nodes
// is configured, it loads the TLS files and also sets n.peerTLS.
func (n *Node) peerDialer() (peer.Dialer, error) {
	dialer := peer.Dialer{Token: n.settings.PeerToken}
	files := n.settings.PeerTLS
	if files == nil {
		return dialer, nil
	}
	configs, err := tlsconf.NewPeerConfigs(tlsconf.PeerFiles(*files), time.Now, n.logger)
	if err != nil {
		return dialer, errors.Wrap(err, "peerTls")
	}
	n.peerTLS = configs.Server
	dialer.TLS = configs.Client
	return dialer, nil
}
