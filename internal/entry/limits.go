package entry

import (
	"io"
	"net/http"
	"time"

	"mangoledge.example/mangoledge/internal/settings"
	"mangoledge.example/mangoledge/internal/verdict"
)

// concurrencyRetryAfter is the retry delay for requests refused by limitConcurrency.
const concurrencyRetryAfter = 200 * time.Millisecond

// limitBody bounds the size of request bodies and the time for reading them.
func limitBody(limits *settings.Limits, next http.Handler) http.Handler {
	bodyTime := time.Duration(limits.BodyTimeoutMs) * time.Millisecond
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, limits.MaxBodyBytes)
		if r.ContentLength != 0 {
			controller := http.NewResponseController(w)
			_ = controller.SetReadDeadline(time.Now().Add(bodyTime))
			r.Body = &deadlineBody{ReadCloser: r.Body, controller: controller}
		}
		next.ServeHTTP(w, r)
	})
}

// deadlineBody clears the read deadline at the end of the body, so that the deadline does
// not cut off a long response.
type deadlineBody struct {
	io.ReadCloser
	controller *http.ResponseController
}

// Read reads from the body and clears the read deadline at io.EOF.
func (b *deadlineBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF { //nolint:errorlint // readers return io.EOF itself
		_ = b.controller.SetReadDeadline(time.Time{})
	}
	return n, err
}

// limitConcurrency refuses requests while all slots are taken. The refused send was not
// run, but an earlier send of the same ID may have been accepted, so the verdict is
// MayHaveRun.
func limitConcurrency(slots chan struct{}, next http.Handler) http.Handler {
	refusal := toRefusal(verdict.New(verdict.MayHaveRun, verdict.CodeOverloaded,
		"too many requests are in progress on this node; this send was not run, the same ID may be sent to another address").WithRetryAfter(concurrencyRetryAfter))
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
