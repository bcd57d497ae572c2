package faulttest

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/platform/platformtest"
)

// TestSlowClientInsideTheLimitsIsServed sends a body of 100 KB at 5 KB a second, far within its route's time.
func TestSlowClientInsideTheLimitsIsServed(t *testing.T) {
	const pieces, pieceBytes, timeoutMs = 20, 5_000, 120_000
	s := startCrowdSite(t, &crowdShape{})
	config := crowdConfig(101)
	for _, route := range config["routes"].([]any) {
		route.(map[string]any)["timeout_ms"] = timeoutMs
	}
	s.store.Put("config", "main", config)
	require.Eventually(t, func() bool { return s.configVersionAt(s.nodes[0]) == 101 }, gatewayReadyTimeout, 20*time.Millisecond)
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp4", s.nodes[0].address(platformtest.FrontPort))
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	client := &crowdClient{conn: conn, sent: new(atomic.Int64)}
	head := client.lengthHead(unlimitedKey, pieces*pieceBytes, "")
	require.True(t, client.write(bytes.Replace(head, []byte("Deadline-Ms: 30000"), fmt.Appendf(nil, "Deadline-Ms: %d", timeoutMs), 1)))
	for range pieces {
		require.True(t, client.write(bytes.Repeat([]byte("x"), pieceBytes)))
		time.Sleep(time.Second)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode)
}
