package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// PeerName is the DNS name that the certificate of every node must hold. Nodes
// are replaced at any time and have no names of their own that would last.
const PeerName = "node.mangoledge"

// PeerFiles are the paths of a node's PEM files for traffic between nodes.
type PeerFiles struct {
	CertFile, KeyFile, CAFile string
}

// Peers is what a node needs to be let in by other nodes and to let them in.
type Peers struct {
	Server, Client *tls.Config
}

// NewPeers returns configurations by which both ends show a certificate for
// PeerName that CAFile has signed. Certificate and key are read again when they
// change, CAFile is not. now is the process's clock.
func NewPeers(files PeerFiles, now func() time.Time, logger *slog.Logger) (*Peers, error) {
	own, err := newServedCertificate(files.CertFile, files.KeyFile, now, logger)
	if err != nil {
		return nil, err
	}
	authority, err := readAuthority(files.CAFile)
	if err != nil {
		return nil, err
	}
	return &Peers{
		Server: &tls.Config{
			MinVersion:     tls.VersionTLS13,
			GetCertificate: own.forClients,
			ClientAuth:     tls.RequireAndVerifyClientCert,
			ClientCAs:      authority,
			// A client's chain is verified by package tls, its name is not.
			VerifyConnection: func(state tls.ConnectionState) error {
				return state.PeerCertificates[0].VerifyHostname(PeerName)
			},
		},
		Client: &tls.Config{
			MinVersion:           tls.VersionTLS13,
			GetClientCertificate: own.forServers,
			RootCAs:              authority,
			ServerName:           PeerName,
		},
	}, nil
}

// readAuthority reads the certificates to trust from a PEM file.
func readAuthority(caFile string) (*x509.CertPool, error) {
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
