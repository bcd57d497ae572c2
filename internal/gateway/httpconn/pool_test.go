package httpconn

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTimeLeftIsToldAsOfTheWritingAndNotOfTheDial(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Header.Get("Left"))
	}))
	defer server.Close()
	var connected time.Time
	pool := NewPool()
	pool.dialer.ControlContext = func(context.Context, string, string, syscall.RawConn) error {
		time.Sleep(50 * time.Millisecond)
		connected = time.Now()
		return nil
	}
	var prepared time.Time
	response, err := pool.Do(t.Context(), server.Listener.Addr().String(), &Request{
		Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{},
		Prepare: func(h http.Header) {
			prepared = time.Now()
			h.Set("Left", "as prepared")
		},
	})
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	response.Finish()
	require.Equal(t, "as prepared", string(body))
	require.True(t, prepared.After(connected))
}
