package membership

import (
	"log/slog"
	"math/rand/v2"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Options say who a member is and what it works with.
type Options struct {
	// Self is this node's own member; its State is alive or leaving. Required.
	// Its Protocol is CurrentProtocol by default.
	Self Member
	// Seeds are peer addresses of some nodes, as IP and port, to join by.
	Seeds []string
	// Conn sends and receives datagrams; Stop closes it. Required.
	Conn net.PacketConn
	// Token is the site's peer token, which authenticates datagrams. Required.
	Token string
	// Now is the clock, with a monotonic reading. Default: time.Now.
	Now func() time.Time
	// Rand decides whom to probe. Default: seeded at random.
	Rand *rand.Rand
	// Logger takes what an operator may want to know. Default: slog.Default().
	Logger *slog.Logger
	// Metrics takes the counters. Default: none.
	Metrics metrics.Registry
	// Timing is how often things are done. Default: DefaultTiming().
	Timing Timing
}

func (o *Options) fillDefaults() {
	if o.Self.Protocol == 0 {
		o.Self.Protocol = CurrentProtocol
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // chooses whom to probe
	}
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	if o.Timing == (Timing{}) {
		o.Timing = DefaultTiming()
	}
}
