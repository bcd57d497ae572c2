package node

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/auth"
	"mangoledge.example/mangoledge/internal/settings"
	"mangoledge.example/mangoledge/internal/standin/certificate"
	"mangoledge.example/mangoledge/internal/standin/platform"
	"mangoledge.example/mangoledge/internal/tlsconf"
)

// syncBuffer is a buffer for logs that is safe for concurrent use.
type syncBuffer struct {
	mu  sync.Mutex
	out bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.String()
}

// freeAddress returns a loopback address whose port is free for TCP and UDP.
func freeAddress(t *testing.T) string {
	t.Helper()
	for {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		address := listener.Addr().String()
		packets, err := net.ListenPacket("udp", address)
		_ = listener.Close()
		if err == nil {
			_ = packets.Close()
			return address
		}
	}
}

// startSecureNode starts a node with TLS whose settings contain secrets that start with
// "planted". It returns the settings and an HTTP client that trusts the node.
func startSecureNode(t *testing.T, logs io.Writer) (*settings.Settings, *http.Client) {
	t.Helper()
	store := httptest.NewServer(platform.NewServer(platform.Options{}))
	t.Cleanup(store.Close)
	dir := t.TempDir()
	certFile, keyFile := filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	require.NoError(t, certificate.Write(certFile, keyFile, 1, tlsconf.PeerName))
	s := &settings.Settings{
		Node: "n1", Region: "default", FailureDomain: "a", Host: "h1",
		CallerListen: freeAddress(t), OperatorListen: freeAddress(t), PeerListen: freeAddress(t),
		PeerToken: "planted-peer-token",
		Platform:  settings.Platform{ObjectsURL: store.URL, Token: "planted-platform-token"},
		Tokens: []settings.Token{
			{Name: "desk", Role: settings.RoleOperator, SHA256: auth.Digest("planted-operator-token")},
			{Name: "field", Role: settings.RoleCaller, Workspace: "w", SHA256: auth.Digest("planted-caller-token")},
		},
		TLS:     &settings.TLS{CertFile: certFile, KeyFile: keyFile},
		PeerTLS: &settings.PeerTLS{CertFile: certFile, KeyFile: keyFile, CAFile: certFile},
		Log:     settings.Log{Level: "debug", Format: "json"},
		Limits:  settings.Limits{MaxBodyBytes: 1 << 20, MaxHeaderBytes: 16 << 10, MaxConcurrent: 16, HeaderTimeoutMs: 5000, BodyTimeoutMs: 5000, DrainTimeoutMs: 1000, AddressKeepMs: 1000},
	}
	s.CallerURL, s.PeerAdvertise = "https://"+s.CallerListen, s.PeerListen
	n, err := New(s, logs)
	require.NoError(t, err)
	require.NoError(t, n.Start(t.Context()))
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		n.Drain(ctx)
	})
	config, err := tlsconf.ClientConfig(certFile)
	require.NoError(t, err)
	transport := &http.Transport{TLSClientConfig: config}
	t.Cleanup(transport.CloseIdleConnections)
	return s, &http.Client{Transport: transport, Timeout: 10 * time.Second}
}

// sendRequest sends an HTTP request with a token and returns the status and the body.
func sendRequest(t *testing.T, client *http.Client, method, url, token, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := client.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(data)
}

func TestSecretsAreNotExposedInDumpsLogsMetricsOrErrors(t *testing.T) {
	logs := new(syncBuffer)
	s, client := startSecureNode(t, logs)
	operators, callers := "https://"+s.OperatorListen, "https://"+s.CallerListen

	status, dump := sendRequest(t, client, http.MethodGet, operators+"/v1/dump", "planted-operator-token", "")
	require.Equal(t, http.StatusOK, status, dump)
	require.Contains(t, dump, "(hidden)")
	status, shown := sendRequest(t, client, http.MethodPost, operators+"/v1/command", "planted-operator-token", `{"command":"dump"}`)
	require.Equal(t, http.StatusOK, status)
	status, metrics := sendRequest(t, client, http.MethodGet, operators+"/metrics", "", "")
	require.Equal(t, http.StatusOK, status)
	for _, line := range []string{"mangoledge_requests_submitted_total 0", "mangoledge_config_version 0", "mangoledge_config_stale 1", `mangoledge_members{state="alive"} 1`, "mangoledge_admission_accepted_total 0"} {
		require.Contains(t, metrics, line+"\n")
	}
	status, refused := sendRequest(t, client, http.MethodGet, operators+"/v1/dump", "planted-wrong-token", "")
	require.Equal(t, http.StatusUnauthorized, status)
	status, crossed := sendRequest(t, client, http.MethodGet, callers+"/v1/addresses", "planted-operator-token", "")
	require.Equal(t, http.StatusForbidden, status, "an operator token must not be accepted for callers")
	status, bad := sendRequest(t, client, http.MethodPost, callers+"/v1/requests", "planted-caller-token", `{"kind":7}`)
	require.Equal(t, http.StatusBadRequest, status)

	require.NotEmpty(t, logs.String())
	for name, text := range map[string]string{"dump": dump, "show": shown, "metrics": metrics, "refusals": refused + crossed + bad, "logs": logs.String()} {
		require.NotContains(t, text, "planted", name)
		for _, token := range s.Tokens {
			require.NotContains(t, text, token.SHA256, name)
		}
	}
}
