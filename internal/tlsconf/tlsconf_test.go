package tlsconf

import (
	"crypto/tls"
	"io"
	"log"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/standin/certificate"
)

// startServer starts an HTTPS server with config and returns its URL. It does not use httptest, which would
// add a certificate of its own.
func startServer(t *testing.T, config *tls.Config) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }),
		ReadHeaderTimeout: time.Minute,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	go func() { _ = server.Serve(tls.NewListener(listener, config)) }()
	t.Cleanup(func() { _ = server.Close() })
	return "https://" + listener.Addr().String()
}

// serverSerial returns the serial number of the certificate that the server at url presents.
func serverSerial(t *testing.T, url string, client *tls.Config) int64 {
	t.Helper()
	transport := &http.Transport{TLSClientConfig: client}
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport}).Get(url)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	return resp.TLS.PeerCertificates[0].SerialNumber.Int64()
}

func TestCertificateIsReloadedWhenItsFilesChange(t *testing.T) {
	dir := t.TempDir()
	certFile, keyFile := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	require.NoError(t, certificate.Write(certFile, keyFile, 1))
	now := time.Now()
	config, err := ServerConfig(certFile, keyFile, func() time.Time { return now }, slog.New(slog.NewTextHandler(io.Discard, nil)))
	require.NoError(t, err)
	url := startServer(t, config)
	first, err := ClientConfig(certFile)
	require.NoError(t, err)
	require.EqualValues(t, 1, serverSerial(t, url, first))

	require.NoError(t, certificate.Write(certFile, keyFile, 2))
	require.NoError(t, os.Chtimes(certFile, now, now.Add(time.Minute)))
	second, err := ClientConfig(certFile)
	require.NoError(t, err)
	require.EqualValues(t, 1, serverSerial(t, url, first), "the files were checked again too early")
	now = now.Add(2 * checkInterval)
	require.EqualValues(t, 2, serverSerial(t, url, second))

	require.NoError(t, os.WriteFile(keyFile, []byte("broken"), 0o600))
	now = now.Add(2 * checkInterval)
	require.EqualValues(t, 2, serverSerial(t, url, second), "an invalid file replaced the certificate in use")
}

func TestClientRefusesAnUntrustedCertificate(t *testing.T) {
	dir := t.TempDir()
	certFile, keyFile := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	require.NoError(t, certificate.Write(certFile, keyFile, 1))
	config, err := ServerConfig(certFile, keyFile, time.Now, slog.New(slog.NewTextHandler(io.Discard, nil)))
	require.NoError(t, err)
	system, err := ClientConfig("")
	require.NoError(t, err)
	transport := &http.Transport{TLSClientConfig: system}
	defer transport.CloseIdleConnections()
	_, err = (&http.Client{Transport: transport}).Get(startServer(t, config)) //nolint:bodyclose // there is no response
	require.ErrorContains(t, err, "certificate")
}

func TestErrorsNameMissingAndInvalidFiles(t *testing.T) {
	_, err := ServerConfig("no-such-file", "no-such-key", time.Now, slog.Default())
	require.ErrorContains(t, err, "no-such-file")
	empty := filepath.Join(t.TempDir(), "ca.pem")
	require.NoError(t, os.WriteFile(empty, []byte("nothing"), 0o600))
	_, err = ClientConfig(empty)
	require.ErrorContains(t, err, "no certificate")
}
