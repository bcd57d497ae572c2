package engine

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestExportIsLimitedByCallersContextOnly uses an engine that answers each call only
// after the timeout of other calls.
func TestExportIsLimitedByCallersContextOnly(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-time.After(responseTimeout + 300*time.Millisecond):
			_, _ = io.WriteString(w, `{"handle":"h","tokens":["a"],"bytes":7}`)
		case <-r.Context().Done():
		}
	}))
	defer server.Close()
	client := NewClient()
	imported := make(chan error, 1)
	go func() { imported <- client.Import(t.Context(), server.URL, KVImport{Handle: "h"}) }()
	export, err := client.Export(t.Context(), server.URL, "r")
	require.NoError(t, err)
	require.Equal(t, &KVExport{Handle: "h", Tokens: []string{"a"}, Bytes: 7}, export)
	require.Error(t, <-imported, "other calls time out")

	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = client.Export(ctx, server.URL, "r")
	require.Error(t, err, "the caller's deadline has passed")
}
