package plainservice

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/engine"
	"mangoledge.example/mangoledge/internal/platform/objects"
	"mangoledge.example/mangoledge/internal/verdict"
)

// TestImpossibleStatusDoesNotTellThatNothingRan guards against a status that is none, taken for the refusal
// of a call, or for the success of a write to the store.
func TestImpossibleStatusDoesNotTellThatNothingRan(t *testing.T) {
	for _, status := range []string{"000 None", "099 Low", "600 High", "999 Highest"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nContent-Length: 2\r\n\r\n{}", status)
			_ = conn.Close()
		}))
		t.Cleanup(server.Close)
		_, err := NewClient(nil, nil).Call(t.Context(), server.URL, "r", "p", false)
		require.Equal(t, verdict.MayHaveRun, verdict.From(err).Verdict, status)
		_, err = engine.NewClient().Start(t.Context(), server.URL, &engine.Completion{RequestID: "r"}, false)
		require.Equal(t, verdict.MayHaveRun, verdict.From(err).Verdict, status)
		store := objects.NewClient(objects.Options{BaseURL: server.URL})
		_, err = store.Update(t.Context(), objects.Object{Kind: "sites", Metadata: objects.Metadata{Name: "a"}})
		var failed *objects.Error
		require.ErrorAs(t, err, &failed, status)
		require.Equal(t, objects.KindUnknown, failed.Kind, status)
		store.Close()
	}
}
