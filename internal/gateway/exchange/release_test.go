package exchange_test

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/gateway/balance"
	"mangoledge.example/mangoledge/internal/gateway/catalog"
	"mangoledge.example/mangoledge/internal/gateway/clock"
	"mangoledge.example/mangoledge/internal/gateway/exchange"
	"mangoledge.example/mangoledge/internal/gateway/httpconn"
	"mangoledge.example/mangoledge/internal/gateway/quota"
	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/ingress"
	"mangoledge.example/mangoledge/internal/platform/objects"
	"mangoledge.example/mangoledge/internal/poison"
	"mangoledge.example/mangoledge/platform"
	"mangoledge.example/mangoledge/platform/platformtest"
)

// tripwire panics at one of the calls that a handler makes.
type tripwire struct {
	// left is the number of calls before the one that panics.
	left int
	// tripped is true once it has panicked.
	tripped bool
}

const tripwirePanic = "tripwire"

func (w *tripwire) step() {
	if w.left == 0 && !w.tripped {
		w.tripped = true
		panic(tripwirePanic)
	}
	w.left--
}

// trippingDeps are the dependencies of a handler, each of whose calls may panic.
type trippingDeps struct {
	platform.Wire
	*tripwire
}

func (d trippingDeps) UpstreamHeader(r *site.Request, s *exchange.SendOptions) http.Header {
	d.step()
	return d.Wire.UpstreamHeader(r, s)
}

func (d trippingDeps) SetTimeLeft(h http.Header, left time.Duration) {
	d.step()
	d.Wire.SetTimeLeft(h, left)
}

func (d trippingDeps) DecodeResponse(status int, h http.Header) exchange.ResponseMeta {
	d.step()
	return d.Wire.DecodeResponse(status, h)
}

func (d trippingDeps) MeansNotRun(status int) bool {
	d.step()
	return d.Wire.MeansNotRun(status)
}

func (d trippingDeps) CopyResponseHeader(dst, src http.Header) {
	d.step()
	d.Wire.CopyResponseHeader(dst, src)
}

func (d trippingDeps) SetAttemptID(h http.Header, r *site.Request) {
	d.step()
	d.Wire.SetAttemptID(h, r)
}

func (d trippingDeps) Add(string, time.Time)    { d.step() }
func (d trippingDeps) Attempt(string)           { d.step() }
func (d trippingDeps) Arrived(string, int, int) { d.step() }

func (d trippingDeps) Take(string) exchange.RetryGrant {
	d.step()
	return exchange.RetryGrant{Allowed: true}
}

func (d trippingDeps) Quarantined(poison.Content) bool {
	d.step()
	return false
}

func (d trippingDeps) CrashingPart(poison.Content) (int, bool) {
	d.step()
	return 0, false
}

func (d trippingDeps) ResponseLost(poison.Content, site.Upstream)    { d.step() }
func (d trippingDeps) Alive(site.Upstream, time.Time, time.Time)     { d.step() }
func (d trippingDeps) Unreachable(site.Upstream)                     { d.step() }
func (d trippingDeps) Survived(poison.Content, time.Time)            { d.step() }
func (d trippingDeps) Succeeded(poison.Content, time.Time)           { d.step() }
func (d trippingDeps) Enabled(context.Context, slog.Level) bool      { return true }
func (d trippingDeps) WithAttrs([]slog.Attr) slog.Handler            { return d }
func (d trippingDeps) WithGroup(string) slog.Handler                 { return d }
func (d trippingDeps) Handle(_ context.Context, _ slog.Record) error { d.step(); return nil }

// trippingWriter is a response writer, each of whose calls may panic.
type trippingWriter struct {
	*httptest.ResponseRecorder
	*tripwire
}

func (w trippingWriter) WriteHeader(status int) {
	w.step()
	w.ResponseRecorder.WriteHeader(status)
}

func (w trippingWriter) Write(data []byte) (int, error) {
	w.step()
	return w.ResponseRecorder.Write(data)
}

func (w trippingWriter) Flush() {
	w.step()
	w.ResponseRecorder.Flush()
}

func (w trippingWriter) SetReadDeadline(time.Time) error {
	w.step()
	return nil
}

// rig is a handler with what it holds resources of.
type rig struct {
	wire     *tripwire
	handler  *exchange.Handler
	balancer *balance.Balancer
	ledger   *quota.Ledger
	pool     *httpconn.Pool
	bodies   *ingress.Account
}

// newRig returns a handler that panics at a call, with the replica as its only upstream.
func newRig(t *testing.T, call int, replica *platformtest.Replica, service string) *rig {
	t.Helper()
	quiet := slog.New(slog.DiscardHandler)
	config := catalog.NewConfiguration(platform.DecodeConfig, quiet)
	spec := platformtest.DefaultConfig(1)
	for _, route := range spec["routes"].([]any) {
		route.(map[string]any)["target_latency_ms"] = 60_000 // nothing stalls
		route.(map[string]any)["timeout_ms"] = 60_000
	}
	data, err := json.Marshal(spec)
	require.NoError(t, err)
	require.True(t, config.ApplyIfNewer(data, "test"))
	config.ConfirmCurrent(time.Now())
	upstreams := catalog.NewUpstreams(platform.DecodeUpstream, quiet, time.Now)
	entry, err := json.Marshal(replica.Entry(service, nil))
	require.NoError(t, err)
	upstreams.Put(objects.Object{Metadata: objects.Metadata{Name: replica.ID}, Spec: entry})
	require.Len(t, upstreams.View().ByService[service], 1)
	r := &rig{
		wire:     &tripwire{left: call},
		balancer: balance.New("a", balance.MaxParts(0), time.Now, rand.Float64),
		ledger:   quota.New(clock.Boot, func(int) time.Duration { return time.Second }, 8*time.Second),
		pool:     httpconn.NewPool(nil),
		bodies:   ingress.NewAccount(1<<20, time.Now),
	}
	r.ledger.StartWithoutCheckpoint()
	deps := trippingDeps{tripwire: r.wire}
	r.handler = exchange.NewHandler(exchange.Options{
		Wire: deps, Configuration: config, Upstreams: upstreams, Balancer: r.balancer, Quota: r.ledger, Usage: deps,
		Budgets: deps, Poison: deps, Demand: deps, Pool: r.pool, Ingress: r.bodies, Metrics: exchange.NewMetrics(metrics.NewRegistry()),
		Logger: slog.New(deps), Shutdown: func() *exchange.Shutdown { return nil }, Durations: exchange.NewDurations(),
		MaxConfigAge: time.Minute, Random: rand.Float64, WallClock: func() time.Time { r.wire.step(); return time.Now() },
	})
	return r
}

// serve serves a request like a server does, which recovers from panics.
func (r *rig) serve(path string) (panicked any) {
	defer func() { panicked = recover() }()
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader("body"))
	request.Host = "site.example"
	request.Header.Set("X-Mangoledge-Attempt-Id", "attempt")
	request.Header.Set("Authorization", "Bearer "+platformtest.WorkspaceKey)
	if strings.HasPrefix(path, "/stream/") {
		request.Header.Set("X-Mangoledge-Token-Usage", "100,20")
	}
	r.handler.ServeHTTP(trippingWriter{httptest.NewRecorder(), r.wire}, request)
	return nil
}

// openConns counts the connections that are open at a replica.
func openConns(replica *platformtest.Replica) *atomic.Int64 {
	open := new(atomic.Int64)
	replica.Server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			open.Add(1)
		case http.StateClosed, http.StateHijacked:
			open.Add(-1)
		case http.StateActive, http.StateIdle:
		}
	}
	return open
}

// TestPanicFreesWhatTheRequestHolds guards against slots, quota and connections that stay taken because the
// handler of their request panicked, at each call that a handler makes.
func TestPanicFreesWhatTheRequestHolds(t *testing.T) {
	for name, c := range map[string]struct {
		service, path string
		behaviour     platformtest.Behaviour
		mayRun        bool
	}{
		"answer":         {"plain", "/once/x", platformtest.Responds, true},
		"failure":        {"plain", "/again/x", platformtest.Fails, true},
		"lost answer":    {"plain", "/once/x", platformtest.DropsResponse, true},
		"rejection":      {"plain", "/once/x", platformtest.Rejects, false},
		"stream":         {"engine", "/stream/x", platformtest.Responds, true},
		"broken stream":  {"engine", "/stream/x", platformtest.Truncates, true},
		"unsigned":       {"engine", "/stream/x", platformtest.Unsigned, true},
		"two answers":    {"plain", "/once/x", platformtest.RespondsTwice, true},
		"another's":      {"plain", "/once/x", platformtest.WrongAttemptID, true},
		"throttled once": {"plain", "/once/x", platformtest.Throttles, true},
	} {
		t.Run(name, func(t *testing.T) {
			replica := platformtest.NewReplica(t, "i-1")
			replica.SetBehaviours(c.behaviour)
			open := openConns(replica)
			panics := 0
			for call := 0; ; call++ {
				before := len(replica.Arrivals())
				r := newRig(t, call, replica, c.service)
				panicked := r.serve(c.path)
				for upstream, load := range r.balancer.LocalLoads() {
					require.Zero(t, load.Requests, "call %d leaves a slot at %d taken", call, upstream)
					require.Zero(t, load.PrefillTokens, "call %d leaves tokens at %d to prefill", call, upstream)
				}
				require.Zero(t, r.bodies.Usage().Held, "call %d keeps the memory of a body", call)
				require.Zero(t, r.bodies.Usage().Receiving, "call %d leaves a body that arrives", call)
				arrived := len(replica.Arrivals()) > before
				spent := r.ledger.Spent()["w1"]
				switch {
				case !arrived && panicked == tripwirePanic:
					require.Zero(t, spent, "call %d keeps the quota of a request that was not sent", call)
				case arrived && c.mayRun:
					require.NotZero(t, spent, "call %d refunds the quota of a request that may have run", call)
				}
				r.pool.CloseIdle(replica.Server.Listener.Addr().String())
				require.Eventually(t, func() bool { return open.Load() <= 0 }, 10*time.Second, time.Millisecond, "call %d leaves a connection open", call)
				open.Store(0)
				if !r.wire.tripped {
					require.Contains(t, []any{nil, http.ErrAbortHandler}, panicked)
					break
				}
				panics++
			}
			require.Greater(t, panics, 10)
		})
	}
}
