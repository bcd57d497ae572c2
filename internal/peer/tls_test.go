package peer

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/standin/certificate"
	"mangoledge.example/mangoledge/internal/tlsconf"
)

// writeSiteCertificate writes a self-signed certificate for names, which is also its own CA.
func writeSiteCertificate(tb testing.TB, names ...string) tlsconf.PeerFiles {
	tb.Helper()
	dir := tb.TempDir()
	files := tlsconf.PeerFiles{CertFile: filepath.Join(dir, "cert.pem"), KeyFile: filepath.Join(dir, "key.pem")}
	files.CAFile = files.CertFile
	require.NoError(tb, certificate.Write(files.CertFile, files.KeyFile, 1, names...))
	return files
}

func peersOf(tb testing.TB, files tlsconf.PeerFiles) *tlsconf.PeerConfigs {
	tb.Helper()
	configs, err := tlsconf.NewPeerConfigs(files, time.Now, slog.New(slog.DiscardHandler))
	require.NoError(tb, err)
	return configs
}

// startTLSServer serves with config, or over plain TCP if it is nil, and returns its
// address.
func startTLSServer(tb testing.TB, token string, config *tls.Config) string {
	tb.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(tb, err)
	server := NewServer(token)
	service := echoService{ended: make(chan struct{})}
	tb.Cleanup(func() { close(service.ended) })
	require.NoError(tb, server.Register("Echo", service))
	go func() { _ = server.Serve(listener, config) }()
	tb.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func callOnce(tb testing.TB, address string, config *tls.Config) error {
	tb.Helper()
	client := NewClient(Dialer{Token: "secret", TLS: config})
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var reply EchoArgs
	err := client.Call(ctx, address, "Echo.Echo", &EchoArgs{Text: "hi"}, &reply)
	if err == nil {
		require.Equal(tb, "hi", reply.Text)
	}
	return err
}

func TestCallOverTLS(t *testing.T) {
	site := peersOf(t, writeSiteCertificate(t, tlsconf.PeerName))
	require.NoError(t, callOnce(t, startTLSServer(t, "secret", site.Server), site.Client))
}

func TestUntrustedNodesAreRefused(t *testing.T) {
	files := writeSiteCertificate(t, tlsconf.PeerName)
	site := peersOf(t, files)
	otherSite := peersOf(t, writeSiteCertificate(t, tlsconf.PeerName))

	withoutCertificate := site.Client.Clone()
	withoutCertificate.GetClientCertificate = nil

	foreign := site.Client.Clone()
	foreign.GetClientCertificate = otherSite.Client.GetClientCertificate

	notANode := writeSiteCertificate(t, "caller.example")
	notANode.CAFile = files.CAFile
	trustsBoth := site.Server.Clone()
	trustsBoth.ClientCAs = site.Server.ClientCAs.Clone()
	otherPEM, err := os.ReadFile(notANode.CertFile)
	require.NoError(t, err)
	require.True(t, trustsBoth.ClientCAs.AppendCertsFromPEM(otherPEM))
	otherName := site.Client.Clone()
	otherName.GetClientCertificate = peersOf(t, notANode).Client.GetClientCertificate

	for name, test := range map[string]struct{ server, client *tls.Config }{
		"a client without TLS":                         {site.Server, nil},
		"a client without a certificate":               {site.Server, withoutCertificate},
		"a client of another site":                     {site.Server, foreign},
		"a client with a certificate for another name": {trustsBoth, otherName},
		"a server without TLS":                         {nil, site.Client},
		"a server of another site":                     {otherSite.Server, site.Client},
	} {
		t.Run(name, func(t *testing.T) {
			err := callOnce(t, startTLSServer(t, "secret", test.server), test.client)
			require.Error(t, err)
			require.True(t, IsNotSent(err), "got %v", err)
		})
	}
}

func BenchmarkCall(b *testing.B) {
	site := peersOf(b, writeSiteCertificate(b, tlsconf.PeerName))
	for name, configs := range map[string]*tlsconf.PeerConfigs{"plain": {}, "tls": site} {
		b.Run(name, func(b *testing.B) {
			address := startTLSServer(b, "secret", configs.Server)
			client := NewClient(Dialer{Token: "secret", TLS: configs.Client})
			defer client.Close()
			ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
			defer cancel()
			for b.Loop() {
				require.NoError(b, client.Call(ctx, address, "Echo.Echo", &EchoArgs{Text: "hi"}, &EchoArgs{}))
			}
		})
	}
}
