package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// PeerName is the DNS name that the certificate of every node must contain. All nodes share
// it, because nodes are replaced at any time and have no lasting names of their own.
const PeerName = "node.mangoledge"

// PeerFiles are the paths of a node's PEM files for traffic between nodes.
type PeerFiles struct {
	CertFile, KeyFile, CAFile string
}

// PeerConfigs are the server and client configurations for connections between nodes.
type PeerConfigs struct {
	Server, Client *tls.Config
}

// NewPeerConfigs returns configurations with which both ends must present a certificate for
// PeerName that a certificate in CAFile has signed. The certificate and key are reloaded when
// their files change; CAFile is not. now returns the current time.
func NewPeerConfigs(files PeerFiles, now func() time.Time, logger *slog.Logger) (*PeerConfigs, error) {
	certificate, err := newReloadedCertificate(files.CertFile, files.KeyFile, now, logger)
	if err != nil {
		return nil, err
	}
	pool, err := readCertPool(files.CAFile)
	if err != nil {
		return nil, err
	}
	return &PeerConfigs{
		Server: &tls.Config{
			MinVersion:     tls.VersionTLS13,
			GetCertificate: certificate.getCertificate,
			ClientAuth:     tls.RequireAndVerifyClientCert,
			ClientCAs:      pool,
			// Package crypto/tls verifies a client's certificate chain, but not its name.
			VerifyConnection: func(state tls.ConnectionState) error {
				return state.PeerCertificates[0].VerifyHostname(PeerName)
			},
		},
		Client: &tls.Config{
			MinVersion:           tls.VersionTLS13,
			GetClientCertificate: certificate.getClientCertificate,
			RootCAs:              pool,
			ServerName:           PeerName,
		},
	}, nil
}

// readCertPool reads the trusted certificates from a PEM file.
func readCertPool(caFile string) (*x509.CertPool, error) {
	data, err := os.ReadFile(caFile)
	if err != nil {
		return nil, errors.Wrap(err, "tls")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.Newf("%s holds no certificate in PEM", caFile)
	}
	return pool, nil
}
