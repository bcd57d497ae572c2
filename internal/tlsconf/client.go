package tlsconf

import (
	"crypto/tls"
)

// Client returns a configuration that trusts the certificates in the PEM file
// caFile, or those of the system when caFile is empty.
func Client(caFile string) (*tls.Config, error) {
	out := &tls.Config{MinVersion: tls.VersionTLS12}
	if caFile == "" {
		return out, nil
	}
	authority, err := readAuthority(caFile)
	if err != nil {
		return nil, err
	}
	out.RootCAs = authority
	return out, nil
}
