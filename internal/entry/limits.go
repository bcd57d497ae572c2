package entry

import (
	"net/http"
	"time"

	"mangoledge.example/mangoledge/internal/verdict"
)

// concurrencyRetryAfter is the retry delay for requests refused by limitConcurrency.
const concurrencyRetryAfter = 200 * time.Millisecond

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
