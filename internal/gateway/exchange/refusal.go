package exchange

import (
	"net/http"
	"strconv"
	"time"
)

// refusal is an answer of the gateway's own.
type refusal struct {
	status int
	// reason names the decision in logs and metrics.
	reason string
	// retryAfter is when to come back; 0 when coming back is of no use or not safe.
	retryAfter time.Duration
}

// The refusals that take no time to come back.
var (
	refuseNoRoute     = &refusal{status: http.StatusNotFound, reason: "no_route"}
	refuseKey         = &refusal{status: http.StatusUnauthorized, reason: "unknown_key"}
	refuseBody        = &refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}
	refuseHeader      = &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "header_too_large"}
	refusePoison      = &refusal{status: http.StatusServiceUnavailable, reason: "content_crashes_upstreams"}
	refuseBrokenBody  = &refusal{status: http.StatusBadRequest, reason: "body_not_read"}
	failedUpstream    = &refusal{status: http.StatusBadGateway, reason: "upstream_failed"}
	failedTime        = &refusal{status: http.StatusGatewayTimeout, reason: "time_over"}
	refuseUnknownYet  = &refusal{status: http.StatusServiceUnavailable, reason: "configuration_unknown", retryAfter: 300 * time.Millisecond}
	refuseStaleConfig = &refusal{status: http.StatusServiceUnavailable, reason: "configuration_old", retryAfter: 500 * time.Millisecond}
	refuseLate        = &refusal{status: http.StatusServiceUnavailable, reason: "time_over_before_sending", retryAfter: 200 * time.Millisecond}
)

func refuseQuota(after time.Duration) *refusal {
	return &refusal{status: http.StatusTooManyRequests, reason: "quota", retryAfter: after}
}

func refuseNoUpstream(after time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: "no_upstream", retryAfter: after}
}

func refuseBusy(after time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: "overloaded", retryAfter: after}
}

func refuseQuiet(after time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: "upstreams_want_quiet", retryAfter: after}
}

// write answers the client.
func (r *refusal) write(w http.ResponseWriter, e *exchange) {
	header := w.Header()
	e.options.Wire.SetAttempt(header, e.request)
	if r.retryAfter > 0 {
		e.options.Wire.SetRetryAfter(header, r.retryAfter)
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(r.reason)+1))
	w.WriteHeader(r.status)
	_, _ = w.Write([]byte(r.reason + "\n")) // a client that is gone needs no answer
}
