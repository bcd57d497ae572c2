package callerclient

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"mangoledge.example/mangoledge/internal/bounded"
)

const (
	defaultSilenceTimeout = 3 * time.Second
	defaultMaxAttempts    = 30
	dialTimeout           = time.Second
	idleConnTimeout       = 10 * time.Second
	maxIdleConnsPerHost   = 256
)

// Options configure a Client.
type Options struct {
	// Seeds are base URLs of nodes, such as "http://127.0.0.1:7001". At least one is required.
	Seeds []string
	// Token is the caller's bearer token.
	Token string
	// Transport sends the requests. Default: NewTransport(nil).
	Transport http.RoundTripper
	// SilenceTimeout is how long a stream may send nothing, not even a heartbeat, before it
	// counts as lost, and the interval at which other nodes are asked about an
	// unstreamed request that has no answer yet. Default 3 s.
	SilenceTimeout time.Duration
	// MaxAttempts is the most attempts for one request. Default 30.
	MaxAttempts int
}

// withDefaults returns o with defaults in place of zero fields.
func (o Options) withDefaults() Options {
	if o.SilenceTimeout == 0 {
		o.SilenceTimeout = defaultSilenceTimeout
	}
	if o.MaxAttempts == 0 {
		o.MaxAttempts = defaultMaxAttempts
	}
	if o.Transport == nil {
		o.Transport = NewTransport(nil)
	}
	return o
}

// NewTransport returns the default transport, which bounds dials, TLS handshakes and
// idle connections. A nil tlsConfig trusts the system's certificates.
func NewTransport(tlsConfig *tls.Config) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:            dialer.DialContext,
		TLSClientConfig:        tlsConfig,
		TLSHandshakeTimeout:    dialTimeout,
		IdleConnTimeout:        idleConnTimeout,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		MaxResponseHeaderBytes: bounded.MaxHeadBytes,
	}
}
