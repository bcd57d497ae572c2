package cli

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestExplainRouteShowsTheDecisionAndTheNodesError(t *testing.T) {
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("host") != "h.example" {
			http.Error(w, "host and path are needed", http.StatusBadRequest)
			return
		}
		_, _ = fmt.Fprint(w, `{"node":"n1","configVersion":7,"route":"r","kind":"streaming","service":"s","decision":"shares","levelMs":90,
			"candidates":[{"upstream":"i-1","probability":0.75,"waitMs":10},{"upstream":"i-2","unavailable":"leaving"}]}`)
	}))
	t.Cleanup(node.Close)
	code, out, _ := run(t, "", "explain-route", "--node", node.URL, "--host", "h.example", "--path", "/a")
	require.Equal(t, int(ExitOK), code)
	require.Contains(t, out, "below the level of 90 ms, by its share")
	require.Contains(t, out, "75%")
	require.Contains(t, out, "leaving")
	code, _, errs := run(t, "", "explain-route", "--node", node.URL, "--host", "other", "--path", "/a")
	require.Equal(t, int(ExitNoAnswer), code)
	require.Contains(t, errs, "host and path are needed")
}
