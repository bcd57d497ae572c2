package exchange

import (
	"net/http"
	"strconv"
	"time"

	"mangoledge.example/mangoledge/internal/gateway/line"
)

// refusal is a response that the gateway itself gives in place of an upstream's.
type refusal struct {
	status int
	// reason is the response body, and names the decision in logs and metrics.
	reason string
	// retryAfter is the Retry-After time; 0 if retrying is useless or unsafe.
	retryAfter time.Duration
	// crowded is true for a refusal that many clients get at once. It is counted, but not logged for
	// each request.
	crowded bool
}

// Refusals with a fixed Retry-After time or none.
var (
	noRouteRefusal        = &refusal{status: http.StatusNotFound, reason: "no_route"}
	unknownKeyRefusal     = &refusal{status: http.StatusUnauthorized, reason: "unknown_key"}
	bodyTooLargeRefusal   = &refusal{status: http.StatusRequestEntityTooLarge, reason: "body_too_large"}
	headerTooLargeRefusal = &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "header_too_large"}
	poisonRefusal         = &refusal{status: http.StatusServiceUnavailable, reason: "content_crashes_upstreams"}
	bodyNotReadRefusal    = &refusal{status: http.StatusBadRequest, reason: "body_not_read"}
	upstreamFailedRefusal = &refusal{status: http.StatusBadGateway, reason: "upstream_failed"}
	timeoutRefusal        = &refusal{status: http.StatusGatewayTimeout, reason: "time_over"}
	configUnknownRefusal  = &refusal{status: http.StatusServiceUnavailable, reason: "configuration_unknown", retryAfter: 300 * time.Millisecond}
	configStaleRefusal    = &refusal{status: http.StatusServiceUnavailable, reason: "configuration_old", retryAfter: 500 * time.Millisecond}
	stoppingRefusal       = &refusal{status: http.StatusServiceUnavailable, reason: "node_stops", retryAfter: 100 * time.Millisecond}
	tooLateRefusal        = &refusal{status: http.StatusServiceUnavailable, reason: "time_over_before_sending", retryAfter: 200 * time.Millisecond}
)

// bodyRefusedRetryAfter is the shortest Retry-After time when there is no memory for a body; random
// spreads it over twice that time.
const bodyRefusedRetryAfter = 400 * time.Millisecond

func bodyRefusedRefusal(reason string, random float64) *refusal {
	after := bodyRefusedRetryAfter + time.Duration(random*float64(bodyRefusedRetryAfter))
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: after, crowded: true}
}

func quotaRefusal(after time.Duration) *refusal {
	return &refusal{status: http.StatusTooManyRequests, reason: "quota", retryAfter: after}
}

func noUpstreamRefusal(after time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: "no_upstream", retryAfter: after}
}

func overloadedRefusal(after time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: "overloaded", retryAfter: after}
}

// busyRefusal refuses the request for lack of room. roomIn is when there will be room; the returns of
// clients are spread from then on.
func (e *exchange) busyRefusal(roomIn time.Duration) *refusal {
	r := line.Request{Rank: e.urgency(), Left: time.Until(e.deadline)}
	return overloadedRefusal(line.ReturnAfter(&r, roomIn, e.options.Random()))
}

func upstreamsUnavailableRefusal(after time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: "upstreams_want_quiet", retryAfter: after}
}

// write sends the refusal to the client.
func (r *refusal) write(w http.ResponseWriter, e *exchange) {
	header := w.Header()
	e.options.Wire.SetAttemptID(header, e.request)
	if r.retryAfter > 0 {
		e.options.Wire.SetRetryAfter(header, r.retryAfter)
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(r.reason)+1))
	limitWrites(w)
	w.WriteHeader(r.status)
	_, _ = w.Write([]byte(r.reason + "\n")) // a write fails only if the client disconnected
}
