package server

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/gateway/httpconn"
	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/wait"
)

// probePauses are the pauses before each probe of an upstream that lost a response. An upstream
// that closes every new connection counts as dead like one that refuses them, because a proxy in
// front of it may still accept connections.
var probePauses = [...]time.Duration{100 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond}

// livenessCheck probes whether upstreams that lost a response still accept connections, so that a
// crash is detected before another request is sent there. It is safe for concurrent use.
type livenessCheck struct {
	probe  func(ctx context.Context, address string) error
	onDead func(site.Upstream)
	logger *slog.Logger
	// mayProbe reports whether an upstream may be probed: one that asked for no requests for some
	// time, or announced that it leaves, may refuse connections without being dead. Nil allows all.
	mayProbe func(site.Upstream) bool

	mu sync.Mutex
	// running holds the IDs of the upstreams that are being probed.
	running map[string]bool
}

func newLivenessCheck(probe func(context.Context, string) error, onDead func(site.Upstream), logger *slog.Logger) *livenessCheck {
	return &livenessCheck{probe: probe, onDead: onDead, logger: logger, running: make(map[string]bool)}
}

// start probes an upstream in the background, unless it is being probed already.
func (c *livenessCheck) start(ctx context.Context, u site.Upstream) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[u.ID] {
		return
	}
	c.running[u.ID] = true
	go func() {
		c.run(ctx, u)
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.running, u.ID)
	}()
}

// run probes an upstream and calls onDead if every probe fails or no connection can be made.
func (c *livenessCheck) run(ctx context.Context, u site.Upstream) {
	var err error
	for _, pause := range probePauses {
		wait.For(ctx, pause)
		if c.mayProbe != nil && !c.mayProbe(u) {
			return
		}
		err = c.probe(ctx, u.Address.String())
		if ctx.Err() != nil || err == nil {
			return
		}
		var failed *httpconn.Error
		if errors.As(err, &failed) && failed.Stage == httpconn.StageDial {
			break
		}
	}
	c.logger.Info("upstream that lost a response is unreachable", "upstream", u.ID, "error", err)
	c.onDead(u)
}
