package httpconn

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/verdict"
)

func TestPrepareRunsAfterConnectionIsEstablished(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Header.Get("Left"))
	}))
	defer server.Close()
	var connected time.Time
	pool := NewPool(nil)
	pool.dialer.ControlContext = func(context.Context, string, string, syscall.RawConn) error {
		time.Sleep(50 * time.Millisecond)
		connected = time.Now()
		return nil
	}
	var prepared time.Time
	response, err := pool.Do(t.Context(), server.Listener.Addr().String(), &Request{
		Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{},
		Prepare: func(h http.Header) error {
			prepared = time.Now()
			h.Set("Left", "as prepared")
			return nil
		},
	})
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	response.Finish()
	require.Equal(t, "as prepared", string(body))
	require.True(t, prepared.After(connected))
}

func TestRequestRejectedByPrepareIsNotSentAndConnectionIsReused(t *testing.T) {
	var requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) }))
	defer server.Close()
	pool := NewPool(nil)
	request := &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, MaxIdle: time.Minute}
	request.Prepare = func(http.Header) error { return errors.New("must not be sent") }
	_, err := pool.Do(t.Context(), server.Listener.Addr().String(), request)
	require.Equal(t, verdict.NotRun, VerdictOf(err))
	request.Prepare = nil
	response, err := pool.Do(t.Context(), server.Listener.Addr().String(), request)
	require.NoError(t, err)
	response.Finish()
	require.EqualValues(t, 1, requests.Load())
	require.EqualValues(t, 1, pool.Dialed())
}
