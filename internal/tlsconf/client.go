package tlsconf

import (
	"crypto/tls"
)

// ClientConfig returns a client configuration that trusts the certificates in the PEM file
// caFile, or those of the system if caFile is empty.
func ClientConfig(caFile string) (*tls.Config, error) {
	out := &tls.Config{MinVersion: tls.VersionTLS12}
	if caFile == "" {
		return out, nil
	}
	pool, err := readCertPool(caFile)
	if err != nil {
		return nil, err
	}
	out.RootCAs = pool
	return out, nil
}
