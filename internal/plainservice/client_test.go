package plainservice

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/verdict"
)

// A reply above the limit fails as a whole; its beginning is not returned.
func TestReplyAboveLimitIsNotReturnedInPart(t *testing.T) {
	for size, accepted := range map[int]bool{maxReplyBytes: true, maxReplyBytes + 1: false} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("x", size))
		}))
		reply, err := NewClient().Call(t.Context(), server.URL, "r", "p", false)
		server.Close()
		if accepted {
			require.NoError(t, err)
			require.Len(t, reply, size)
			continue
		}
		require.Equal(t, verdict.Ran, verdict.From(err).Verdict)
		require.Empty(t, reply)
	}
}
