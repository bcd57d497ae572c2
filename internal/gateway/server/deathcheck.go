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

// deathProbes are the pauses before each look at an upstream that lost an answer. One
// that closes a new connection each time is as dead as one that takes none: a proxy
// before it may take connections all the same.
var deathProbes = [...]time.Duration{100 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond}

// deathCheck looks whether upstreams that lost an answer still take connections, so that
// a crash shows before another request is sent there. It is safe for concurrent use.
type deathCheck struct {
	probe  func(ctx context.Context, address string) error
	dead   func(site.Upstream)
	logger *slog.Logger
	// open reports whether an upstream may be looked at: one that asked to be left alone may
	// turn connections away, and is not dead for it. Nil for any.
	open func(site.Upstream) bool

	mu sync.Mutex
	// running holds the upstreams that are being looked at.
	running map[string]bool
}

func newDeathCheck(probe func(context.Context, string) error, dead func(site.Upstream), logger *slog.Logger) *deathCheck {
	return &deathCheck{probe: probe, dead: dead, logger: logger, running: make(map[string]bool)}
}

// start begins to look at an upstream, unless that goes on already.
func (d *deathCheck) start(ctx context.Context, u site.Upstream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running[u.ID] {
		return
	}
	d.running[u.ID] = true
	go func() {
		d.run(ctx, u)
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.running, u.ID)
	}()
}

func (d *deathCheck) run(ctx context.Context, u site.Upstream) {
	var err error
	for _, pause := range deathProbes {
		wait.For(ctx, pause)
		if d.open != nil && !d.open(u) {
			return
		}
		err = d.probe(ctx, u.Address.String())
		if ctx.Err() != nil || err == nil {
			return
		}
		var failed *httpconn.Error
		if errors.As(err, &failed) && failed.Stage == httpconn.StageDial {
			break
		}
	}
	d.logger.Info("upstream that lost an answer is dead", "upstream", u.ID, "error", err)
	d.dead(u)
}
