package faulttest

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestStuckProxyIsReplaced holds a lock of the proxy library, as its deadlock does.
func TestStuckProxyIsReplaced(t *testing.T) {
	t.Parallel() // waits for proxyCallTimeout
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	defer server.Close()
	l := newLink(t, "server", server.Listener.Addr().String(), false)
	require.NoError(t, l.blackhole())
	stuck := l.currentProxy()
	stuck.Toxics.Lock()
	defer stuck.Toxics.Unlock()
	require.NoError(t, l.restore())
	require.NotSame(t, stuck, l.currentProxy())
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+l.address, nil)
	require.NoError(t, err)
	response, err := client.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusNoContent, response.StatusCode)
	require.NoError(t, l.blackhole(), "faults can be added again")
}
