package tlsconf

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/standin/certificate"
)

func TestCheckReportsFaultsOfTheFiles(t *testing.T) {
	dir := t.TempDir()
	certFile, keyFile := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	now := time.Now()
	require.ErrorContains(t, CheckCertificate(certFile, keyFile, now), certFile, "the files are missing")
	require.NoError(t, certificate.Write(certFile, keyFile, 1))
	require.NoError(t, CheckCertificate(certFile, keyFile, now))
	require.ErrorContains(t, CheckCertificate(certFile, keyFile, now.AddDate(100, 0, 0)), "has expired at")
	require.ErrorContains(t, CheckCertificate(certFile, keyFile, now.AddDate(-100, 0, 0)), "is not valid before")

	otherCert, otherKey := filepath.Join(dir, "other.pem"), filepath.Join(dir, "other-key.pem")
	require.NoError(t, certificate.Write(otherCert, otherKey, 2))
	require.ErrorContains(t, CheckCertificate(certFile, otherKey, now), "private key does not match")
	require.NoError(t, os.WriteFile(keyFile, []byte("broken"), 0o600))
	require.Error(t, CheckCertificate(certFile, keyFile, now))
}
