// Package certificate creates certificates for tests.
package certificate

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"time"
)

// validity is how long a certificate is valid before and after it was created.
const validity = time.Hour

// Write creates a self-signed certificate for 127.0.0.1 and the given DNS names, and
// writes it and its key to PEM files.
func Write(certFile, keyFile string, serial int64, names ...string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(serial),
		Subject:               pkix.Name{CommonName: "mangoledge test"},
		NotBefore:             now.Add(-validity),
		NotAfter:              now.Add(validity),
		DNSNames:              names,
		IPAddresses:           []net.IP{net.ParseIP("127.0.0.1")},
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return err
	}
	keyBytes, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	if err := writePEM(certFile, "CERTIFICATE", cert); err != nil {
		return err
	}
	return writePEM(keyFile, "EC PRIVATE KEY", keyBytes)
}

// writePEM writes data to path as one PEM block of type kind, readable by its owner only.
func writePEM(path, kind string, data []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600)
}
