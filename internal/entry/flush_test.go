package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// deadlineRecorder is a response writer that records its write deadline.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

func (r *deadlineRecorder) SetWriteDeadline(at time.Time) error {
	r.deadline = at
	return nil
}

func TestCallerThatTakesNoResponseIsDisconnectedInTime(t *testing.T) {
	recorder := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	handler := flushWrites(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write([]byte("event"))
		require.NoError(t, err)
	}))
	before := time.Now()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
	require.WithinRange(t, recorder.deadline, before.Add(callerWriteTimeout), time.Now().Add(callerWriteTimeout))
	require.Equal(t, "event", recorder.Body.String())
}

// countingRecorder is a deadlineRecorder that counts the write deadlines.
type countingRecorder struct {
	deadlineRecorder
	deadlines int
}

func (r *countingRecorder) SetWriteDeadline(at time.Time) error {
	r.deadlines++
	return r.deadlineRecorder.SetWriteDeadline(at)
}

func TestCallerHasTimeForEachPieceOfALongResponse(t *testing.T) {
	recorder := &countingRecorder{deadlineRecorder: deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}}
	body := strings.Repeat("0123456789", writePiece/4)
	handler := flushWrites(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n, err := w.Write([]byte(body))
		require.NoError(t, err)
		require.Equal(t, len(body), n)
	}))
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/", nil))
	require.Equal(t, body, recorder.Body.String())
	require.Equal(t, 3, recorder.deadlines)
}
