package callerclient

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"mangoledge.example/mangoledge/internal/bounded"
)

const (
	defaultSilence     = 3 * time.Second
	defaultMaxAttempts = 30
	dialTimeout        = time.Second
	idleConnTimeout    = 10 * time.Second
	maxIdlePerHost     = 256
)

// Options say how a Client reaches a site.
type Options struct {
	// Seeds are base URLs of some nodes, such as "http://127.0.0.1:7001". At least one.
	Seeds []string
	// Token is the caller's bearer token.
	Token string
	// Transport carries the requests. Default: one with bounded dials and idle times.
	Transport http.RoundTripper
	// Silence is how long a stream may send nothing, not even a heartbeat, before it
	// counts as lost; and how long an unstreamed request is waited for before
	// another node is asked about it. Default 3 s.
	Silence time.Duration
	// MaxAttempts bounds the sends of one request. Default 30.
	MaxAttempts int
}

func (o Options) withDefaults() Options {
	if o.Silence == 0 {
		o.Silence = defaultSilence
	}
	if o.MaxAttempts == 0 {
		o.MaxAttempts = defaultMaxAttempts
	}
	if o.Transport == nil {
		o.Transport = NewTransport(nil)
	}
	return o
}

// NewTransport returns the default transport; tlsConfig is nil for the system's certificates.
func NewTransport(tlsConfig *tls.Config) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		TLSClientConfig:        tlsConfig,
		TLSHandshakeTimeout:    dialTimeout,
		IdleConnTimeout:        idleConnTimeout,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		MaxResponseHeaderBytes: bounded.MaxHeadBytes,
	}
}
