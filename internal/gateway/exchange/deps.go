package exchange

import (
	"log/slog"
	"net/http"
	"time"

	"mangoledge.example/mangoledge/internal/gateway/balance"
	"mangoledge.example/mangoledge/internal/gateway/catalog"
	"mangoledge.example/mangoledge/internal/gateway/httpconn"
	"mangoledge.example/mangoledge/internal/gateway/quota"
	"mangoledge.example/mangoledge/internal/gateway/rollout"
	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/ingress"
	"mangoledge.example/mangoledge/internal/poison"
)

// ResponseMeta is what the headers and status of an upstream's response say about it.
type ResponseMeta struct {
	// AttemptID is the ID of the request that the response belongs to.
	AttemptID string
	// Signed is true if the response carries the upstream's signature.
	Signed bool
	// NotRun is true if the upstream states that it did not run the request.
	NotRun bool
	// WrongUpstream is true if a different upstream now uses the address.
	WrongUpstream bool
	// Leaving is true if the upstream announces that it is shutting down and accepts no new
	// requests.
	Leaving bool
	// RetryAfter is how long the upstream asks this node to send it nothing; 0 if it did not ask.
	RetryAfter time.Duration
	// InvalidRetryAfter is the raw Retry-After value if it could not be used unchanged (not a
	// number, negative, or above the limit); otherwise empty.
	InvalidRetryAfter string
}

// SendOptions holds what the gateway adds to a request when it sends it to an upstream.
type SendOptions struct {
	Upstream  site.Upstream
	Workspace string
	// ResumeAfter is the ID of the last event that the gateway wrote to the client, or empty if it
	// wrote none with an ID.
	ResumeAfter string
	// Urgency ranks the request at the upstream, from 0 (admitted first) to 9.
	Urgency int
}

// Wire maps requests and responses to and from the platform's HTTP headers.
type Wire interface {
	DecodeRequest(r *http.Request, received time.Time) *site.Request
	UpstreamHeader(r *site.Request, s *SendOptions) http.Header
	// SetTimeLeft sets the header that tells the upstream how much time the request has left.
	SetTimeLeft(h http.Header, left time.Duration)
	DecodeResponse(status int, h http.Header) ResponseMeta
	// MeansNotRun reports whether a status tells the client that the request was not and
	// will not be run.
	MeansNotRun(status int) bool
	CopyResponseHeader(dst, src http.Header)
	SetRetryAfter(h http.Header, after time.Duration)
	SetAttemptID(h http.Header, r *site.Request)
}

// UsageCounter counts requests that started to run, for the usage report.
type UsageCounter interface {
	Add(workspace string, at time.Time)
}

// RetryBudgets limits the retries of requests, per service.
type RetryBudgets interface {
	// Attempt records the first send of a request to a service.
	Attempt(service string)
	// Take takes one retry from the service's budget, if one is left.
	Take(service string) RetryGrant
}

// RetryGrant is the result of asking for a retry, with the figures that decided it.
type RetryGrant struct {
	Allowed bool
	// Remaining is the number of retries left after this one.
	Remaining float64
	// Nodes is the number of nodes that the retry reserve is divided among.
	Nodes int
}

// PoisonTracker tracks request contents, and parts of prompts, that crash upstreams.
type PoisonTracker interface {
	// Quarantined reports whether the content must not be sent again.
	Quarantined(content poison.Content) bool
	// CrashingPart returns the index of the first part of the content that must not be sent again.
	CrashingPart(content poison.Content) (index int, found bool)
	// ResponseLost records that a content was sent to an upstream and no complete response came
	// back.
	ResponseLost(content poison.Content, upstream site.Upstream)
	// Alive records that an upstream responded to a request sent at sent, over a connection
	// opened at connected.
	Alive(upstream site.Upstream, connected, sent time.Time)
	// Unreachable records that an upstream did not accept a connection.
	Unreachable(upstream site.Upstream)
	// Survived records that an upstream wrote on the content, sent at sentAt, for some time.
	Survived(content poison.Content, sentAt time.Time)
	// Succeeded records that the content, sent at sentAt, ran to completion and the response was a
	// success.
	Succeeded(content poison.Content, sentAt time.Time)
}

// DemandRecorder measures the work that arrives for each service, for autoscaling.
type DemandRecorder interface {
	// Arrived records the uncached prompt tokens to process (prefill) and the maximum number of
	// output tokens of a request.
	Arrived(service string, prefill, output int)
}

// Options are the dependencies and settings of a Handler.
type Options struct {
	Wire          Wire
	Configuration *catalog.Configuration
	Upstreams     *catalog.Upstreams
	Balancer      *balance.Balancer
	Quota         *quota.Ledger
	Usage         UsageCounter
	Budgets       RetryBudgets
	Poison        PoisonTracker
	Demand        DemandRecorder
	// Rollouts is nil where versions are not ordered.
	Rollouts *rollout.Rollouts
	Pool     *httpconn.Pool
	// Ingress is the memory for request bodies.
	Ingress *ingress.Account
	Metrics *Metrics
	Logger  *slog.Logger
	// Shutdown returns the planned end of the process, or nil while it is not shutting down.
	Shutdown func() *Shutdown
	// Durations tells how long a route's responses take.
	Durations *Durations
	// PlannedExits tells planned exits of upstreams from other ends of their processes.
	PlannedExits PlannedExits
	// MaxConfigAge is the age up to which a configuration counts as current. If a request's
	// route or key is missing from an older one, the client is told to retry later instead of
	// getting a final error.
	MaxConfigAge time.Duration
	// Random returns a number in [0, 1); it spreads the times at which clients are told to
	// retry.
	Random func() float64
	// WallClock returns the time of day, which selects the window of the usage report.
	WallClock func() time.Time
}
