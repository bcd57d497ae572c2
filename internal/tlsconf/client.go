package tlsconf

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"
)

// Client returns a configuration that trusts the certificates in the PEM file
// caFile, or those of the system when caFile is empty.
func Client(caFile string) (*tls.Config, error) {
	out := &tls.Config{MinVersion: tls.VersionTLS12}
	if caFile == "" {
		return out, nil
	}
	data, err := os.ReadFile(caFile)
	if err != nil {
		return nil, errors.Wrap(err, "tls")
	}
	out.RootCAs = x509.NewCertPool()
	if !out.RootCAs.AppendCertsFromPEM(data) {
		return nil, errors.Newf("%s holds no certificate in PEM", caFile)
	}
	return out, nil
}
