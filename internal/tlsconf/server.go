// Package tlsconf makes TLS configurations from files.
//
// Invariants: TLS 1.2 is the oldest version spoken; a certificate that can't be
// read leaves the one before it in use.
//
// Lock order: servedCertificate.mu is a leaf.
package tlsconf

import (
	"crypto/tls"
	"log/slog"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// lookInterval is the least time between two looks at the files.
const lookInterval = time.Second

// Server returns a configuration that serves the certificate in the PEM files
// and reads them again when they change. now is the process's clock.
func Server(certFile, keyFile string, now func() time.Time, logger *slog.Logger) (*tls.Config, error) {
	c, err := newServedCertificate(certFile, keyFile, now, logger)
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: c.forClients}, nil
}

// servedCertificate is a certificate and the state of the files it was read from.
type servedCertificate struct {
	certFile, keyFile string
	now               func() time.Time
	logger            *slog.Logger

	mu     sync.Mutex
	pair   *tls.Certificate
	state  filesState
	looked time.Time
}

// newServedCertificate reads the certificate for the first time.
func newServedCertificate(certFile, keyFile string, now func() time.Time, logger *slog.Logger) (*servedCertificate, error) {
	c := &servedCertificate{certFile: certFile, keyFile: keyFile, now: now, logger: logger}
	if err := c.read(); err != nil {
		return nil, errors.Wrap(err, "tls")
	}
	return c, nil
}

// forClients answers a client's hello.
func (c *servedCertificate) forClients(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return c.current(), nil
}

// forServers answers a server's request of a client certificate.
func (c *servedCertificate) forServers(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return c.current(), nil
}

// filesState changes when a file does.
type filesState struct {
	certTime, keyTime time.Time
	certSize, keySize int64
}

// current returns the certificate to use.
func (c *servedCertificate) current() *tls.Certificate {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.now().Sub(c.looked) < lookInterval {
		return c.pair
	}
	if err := c.readLocked(); err != nil {
		c.logger.Error("the TLS certificate can't be read; the one before it stays in use", "error", err.Error(), "certFile", c.certFile)
	}
	return c.pair
}

func (c *servedCertificate) read() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readLocked()
}

// readLocked reads the files when they have changed; the caller holds mu.
func (c *servedCertificate) readLocked() error {
	c.looked = c.now()
	state, err := stateOf(c.certFile, c.keyFile)
	if err != nil {
		return err
	}
	if c.pair != nil && state == c.state {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return err
	}
	c.pair = &pair
	c.state = state
	return nil
}

func stateOf(certFile, keyFile string) (filesState, error) {
	cert, err := os.Stat(certFile)
	if err != nil {
		return filesState{}, err
	}
	key, err := os.Stat(keyFile)
	if err != nil {
		return filesState{}, err
	}
	return filesState{certTime: cert.ModTime(), certSize: cert.Size(), keyTime: key.ModTime(), keySize: key.Size()}, nil
}
