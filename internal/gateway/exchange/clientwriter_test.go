package exchange

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

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

// deadlineRecorder records the write deadline in force at each write.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadline time.Time
	atWrites []time.Time
}

func (r *deadlineRecorder) SetWriteDeadline(t time.Time) error { r.deadline = t; return nil }

func (r *deadlineRecorder) Write(data []byte) (int, error) {
	r.atWrites = append(r.atWrites, r.deadline)
	return r.ResponseRecorder.Write(data)
}

func TestClientThatTakesNoResponseHasADeadlineThatProgressRenews(t *testing.T) {
	recorder := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	client := newClientWriter(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
	require.NoError(t, client.write([]byte("a")))
	client.limitedAt = client.limitedAt.Add(-time.Hour)
	recorder.deadline = time.Time{}
	require.NoError(t, client.write([]byte("b")))
	require.Len(t, recorder.atWrites, 2)
	for _, deadline := range recorder.atWrites {
		require.False(t, deadline.IsZero())
	}
}
