package exchange

import (
	"log/slog"
	"net/http"
	"time"

	"mangoledge.example/mangoledge/internal/gateway/balance"
	"mangoledge.example/mangoledge/internal/gateway/catalog"
	"mangoledge.example/mangoledge/internal/gateway/httpconn"
	"mangoledge.example/mangoledge/internal/gateway/quota"
	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/poison"
)

// AnswerMeta is what an upstream's answer says of itself.
type AnswerMeta struct {
	// AttemptID is the request that the answer belongs to.
	AttemptID string
	// Signed is true when the answer carries the upstream's signature.
	Signed bool
	// NotRun is true when the upstream states that it did not run the request.
	NotRun bool
	// WrongUpstream is true when another upstream has the address.
	WrongUpstream bool
	// Leaving is true when the upstream says that it ends and wants nothing new.
	Leaving bool
	// Quiet is for how long the upstream wants nothing from this node; 0 for no such wish.
	Quiet time.Duration
	// Unclear is what the upstream said of that time when it could not be read as it stands.
	Unclear string
}

// Send is what the gateway adds to one send of a request.
type Send struct {
	Upstream  site.Upstream
	Workspace string
	// ResumeAfter is the last event that the client has, or empty.
	ResumeAfter string
	// Urgency is 0 for the first to be admitted, to 9.
	Urgency int
}

// Wire translates requests and answers.
type Wire interface {
	DecodeRequest(r *http.Request, received time.Time) *site.Request
	UpstreamHeader(r *site.Request, s *Send) http.Header
	// SetLeft tells the upstream how long it may work.
	SetLeft(h http.Header, left time.Duration)
	DecodeAnswer(status int, h http.Header) AnswerMeta
	// PromisesNotRun reports whether a status says that the request never runs.
	PromisesNotRun(status int) bool
	CopyAnswerHeader(dst, src http.Header)
	SetRetryAfter(h http.Header, after time.Duration)
	SetAttempt(h http.Header, r *site.Request)
}

// Usage counts requests that began to run.
type Usage interface {
	Add(workspace string, at time.Time)
}

// Budgets bounds the sends beyond the first of each request.
type Budgets interface {
	// Attempt counts a first send to a service.
	Attempt(service string)
	// Take takes one further send, if one is left.
	Take(service string) Grant
}

// Grant is the answer to a wish to send once more, with what decided it.
type Grant struct {
	Allowed bool
	// Left is how many further sends are left after this one.
	Left float64
	// Nodes is over how many nodes the reserve is divided.
	Nodes int
}

// Poison knows the contents that crash upstreams.
type Poison interface {
	// Convicted reports whether the content must not be sent again.
	Convicted(content poison.Fingerprint) bool
	// AnswerLost notes that a content was sent to an upstream and got no whole answer.
	AnswerLost(content poison.Fingerprint, upstream site.Upstream)
	// Alive notes that an upstream answered a request sent at a time, over a connection
	// made at another.
	Alive(upstream site.Upstream, connected, sent time.Time)
	// Unreachable notes that an upstream took no connection.
	Unreachable(upstream site.Upstream)
	// Succeeded notes that the content ran to its end and was answered with a success.
	Succeeded(content poison.Fingerprint)
}

// Demand measures the work that arrives for a service.
type Demand interface {
	// Arrived notes the prompt tokens that must be read and the tokens that will be generated.
	Arrived(service string, prefill, output int)
}

// Options are what a Handler works with.
type Options struct {
	Wire          Wire
	Configuration *catalog.Configuration
	Upstreams     *catalog.Upstreams
	Balancer      *balance.Balancer
	Quota         *quota.Ledger
	Usage         Usage
	Budgets       Budgets
	Poison        Poison
	Demand        Demand
	Pool          *httpconn.Pool
	Metrics       *Metrics
	Logger        *slog.Logger
	// Leaving reports whether this node is about to end.
	Leaving func() bool
	// ConfigFresh is the age up to which a configuration is taken to be current; a
	// request that an older one does not know is told to come back.
	ConfigFresh time.Duration
	// Random returns a number from 0 up to 1, to spread what would come at once.
	Random func() float64
	// WallClock is the time of day, for the windows of the usage report.
	WallClock func() time.Time
}
