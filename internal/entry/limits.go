package entry

import (
	"io"
	"net/http"
	"time"

	"mangoledge.example/mangoledge/internal/settings"
	"mangoledge.example/mangoledge/internal/verdict"
)

// limitRetryAfter is when a caller may come back after the limit of requests in progress was met.
const limitRetryAfter = 200 * time.Millisecond

// limitBody bounds the size of a body and the time it may take.
func limitBody(limits *settings.Limits, next http.Handler) http.Handler {
	bodyTime := time.Duration(limits.BodyTimeoutMs) * time.Millisecond
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, limits.MaxBodyBytes)
		if r.ContentLength != 0 {
			controller := http.NewResponseController(w)
			_ = controller.SetReadDeadline(time.Now().Add(bodyTime))
			r.Body = &timedBody{ReadCloser: r.Body, controller: controller}
		}
		next.ServeHTTP(w, r)
	})
}

// timedBody takes the read deadline back at the end of the body, so that it
// does not end a long answer.
type timedBody struct {
	io.ReadCloser
	controller *http.ResponseController
}

// Read reads from the body.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF { //nolint:errorlint // readers return io.EOF itself
		_ = b.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}

// limitConcurrency refuses what is beyond the number of slots. A request that
// was not looked at was not run by this send, but an earlier send of its ID may
// have been accepted: that is said.
func limitConcurrency(slots chan struct{}, next http.Handler) http.Handler {
	refusal := refusalOf(verdict.New(verdict.MayHaveRun, verdict.CodeOverloaded,
		"too many requests are in progress on this node; this send was not run, the same ID may be sent to another address").WithRetryAfter(limitRetryAfter))
	body, err := refusal.MarshalJSON()
	if err != nil {
		body = nil
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
		default:
			w.Header().Set("Content-Type", "application/json; charset=utf-8")
			w.WriteHeader(http.StatusTooManyRequests)
			_, _ = w.Write(body)
			return
		}
		defer func() { <-slots }()
		next.ServeHTTP(w, r)
	})
}
