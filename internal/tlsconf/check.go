package tlsconf

import (
	"crypto/tls"
	"time"

	"github.com/cockroachdb/errors"
)

// CheckCertificate returns an error if the two PEM files can't be read, if the key belongs to another
// certificate, or if the certificate is not valid at now.
func CheckCertificate(certFile, keyFile string, now time.Time) error {
	pair, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return errors.Wrap(err, "tls")
	}
	switch leaf := pair.Leaf; {
	case leaf == nil:
		return errors.Newf("tls: %s holds no certificate", certFile)
	case now.After(leaf.NotAfter):
		return errors.Newf("tls: the certificate in %s has expired at %s", certFile, leaf.NotAfter.UTC().Format(time.RFC3339))
	case now.Before(leaf.NotBefore):
		return errors.Newf("tls: the certificate in %s is not valid before %s", certFile, leaf.NotBefore.UTC().Format(time.RFC3339))
	}
	return nil
}
