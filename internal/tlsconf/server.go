// Package tlsconf creates TLS configurations from PEM files.
//
// Invariants: TLS 1.2 is the oldest accepted version; if a changed certificate can't be
// read, the previous one stays in use.
//
// Lock order: reloadedCertificate.mu is a leaf; no other lock of this module is taken while it is held.
package tlsconf

import (
	"crypto/tls"
	"log/slog"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// checkInterval is the minimum time between two checks of the files for changes.
const checkInterval = time.Second

// ServerConfig returns a server configuration with the certificate in the PEM files, which are
// reloaded when they change. now returns the current time.
func ServerConfig(certFile, keyFile string, now func() time.Time, logger *slog.Logger) (*tls.Config, error) {
	c, err := newReloadedCertificate(certFile, keyFile, now, logger)
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: c.getCertificate}, nil
}

// reloadedCertificate is a certificate that is reloaded when its files change.
type reloadedCertificate struct {
	certFile, keyFile string
	now               func() time.Time
	logger            *slog.Logger

	mu        sync.Mutex
	pair      *tls.Certificate
	state     filesState
	checkedAt time.Time
}

// newReloadedCertificate reads the certificate and returns an error if it can't be read.
func newReloadedCertificate(certFile, keyFile string, now func() time.Time, logger *slog.Logger) (*reloadedCertificate, error) {
	c := &reloadedCertificate{certFile: certFile, keyFile: keyFile, now: now, logger: logger}
	if err := c.reload(); err != nil {
		return nil, errors.Wrap(err, "tls")
	}
	return c, nil
}

// getCertificate implements tls.Config.GetCertificate.
func (c *reloadedCertificate) getCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return c.current(), nil
}

// getClientCertificate implements tls.Config.GetClientCertificate.
func (c *reloadedCertificate) getClientCertificate(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	return c.current(), nil
}

// filesState holds the modification times and sizes of the two files, by which changes are detected.
type filesState struct {
	certTime, keyTime time.Time
	certSize, keySize int64
}

// current returns the certificate to use. It checks the files for changes if checkInterval has passed
// since the last check.
func (c *reloadedCertificate) current() *tls.Certificate {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.now().Sub(c.checkedAt) < checkInterval {
		return c.pair
	}
	if err := c.reloadLocked(); err != nil {
		c.logger.Error("cannot read the changed TLS certificate; the previous one stays in use", "error", err.Error(), "certFile", c.certFile)
	}
	return c.pair
}

func (c *reloadedCertificate) reload() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reloadLocked()
}

// reloadLocked reads the files if they have changed. The caller holds mu.
func (c *reloadedCertificate) reloadLocked() error {
	c.checkedAt = c.now()
	state, err := statFiles(c.certFile, c.keyFile)
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

// statFiles returns the current state of the files.
func statFiles(certFile, keyFile string) (filesState, error) {
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
