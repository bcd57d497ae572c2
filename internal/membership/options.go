package membership

import (
	"log/slog"
	"math/rand/v2"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Options configures a Cluster.
type Options struct {
	// Self is this node's own member; its State must be alive or leaving. Required. Its
	// Protocol is CurrentProtocol by default.
	Self Member
	// Seeds are the peer addresses (IP and port) of nodes to join through.
	Seeds []string
	// Conn sends and receives datagrams; Stop closes it. Required.
	Conn net.PacketConn
	// Token is the site's peer token, which authenticates datagrams. Required.
	Token string
	// Now is the clock, with a monotonic reading. Default: time.Now.
	Now func() time.Time
	// Rand is the source of randomness for probe and gossip targets. Default: randomly
	// seeded.
	Rand *rand.Rand
	// Logger receives changes of members and I/O errors. Default: slog.Default().
	Logger *slog.Logger
	// Metrics is the registry for the gauges of Stats. Default: a private registry.
	Metrics metrics.Registry
	// Timing sets the protocol's intervals and timeouts. Default: DefaultTiming().
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
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // only chooses targets of probes and gossip
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
