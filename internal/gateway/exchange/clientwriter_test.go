package exchange

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestUnframedResponseIsNotBegunIfItsConnectionCantBeReset(t *testing.T) {
	recorder := httptest.NewRecorder()
	client := newClientWriter(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
	require.Error(t, client.takeFraming(true))
	require.False(t, client.headerWritten)
	require.Empty(t, recorder.Header())
	require.NoError(t, client.takeFraming(false), "framed responses need no connection")
}
