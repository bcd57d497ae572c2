package server

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	projectmetrics "mangoledge.example/mangoledge/internal/metrics"
	"mangoledge.example/mangoledge/platform"
)

const (
	// maxHeaderBytes bounds a request's head before a configuration says its own bound.
	maxHeaderBytes = 128 << 10
	// headerTimeout bounds the time in which a head comes, before a configuration says its own.
	headerTimeout = 15 * time.Second
	// ownIdle is how long the listeners that are not for clients' requests keep idle connections.
	ownIdle = 30 * time.Second
	// directoryTTL is for how long clients may keep an answer of the directory. Some
	// keep it three times as long, and a node that leaves waits that out.
	directoryTTL = time.Second
	// maxDirectoryAddresses is how many addresses an answer holds.
	maxDirectoryAddresses = 64
)

// joinPort returns the address of a port of an IP.
func joinPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// listen opens all listeners that the settings name.
func (g *Gateway) listen(ctx context.Context) error {
	front := &http.Server{
		Handler: g.handler(), MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout,
		ConnState: g.idle.note, ErrorLog: quietLog(g.logger),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.ReadyPath, g.serveReady)
	mux.HandleFunc("GET "+platform.ResolvePath, g.serveResolve)
	control := http.NewServeMux()
	control.HandleFunc("GET "+snapshotPath, g.serveSnapshot)
	control.HandleFunc("GET "+configPath, g.serveConfig)
	control.HandleFunc("GET "+statePath, g.serveState)
	observed := http.NewServeMux()
	observed.Handle("GET /metrics", projectmetrics.Handler(g.registry))
	observed.HandleFunc("GET "+statePath, g.serveState)
	if err := g.open(ctx, g.settings.Listen.Front, front); err != nil {
		return err
	}
	for address, handler := range map[string]http.Handler{
		g.settings.Listen.Readiness: mux,
		g.settings.Listen.Directory: mux,
		g.settings.Listen.Control:   control,
		g.settings.Listen.Metrics:   observed,
	} {
		if address == g.settings.Listen.Front {
			continue
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: ownIdle, ErrorLog: quietLog(g.logger)}
		if err := g.open(ctx, address, server); err != nil {
			return err
		}
	}
	return nil
}

// open serves an address, unless it is empty.
func (g *Gateway) open(ctx context.Context, address string, server *http.Server) error {
	if address == "" {
		return nil
	}
	listener, err := (&net.ListenConfig{KeepAliveConfig: clientKeepAlive}).Listen(ctx, "tcp4", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	g.servers = append(g.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			g.logger.Error("listener ended", "address", address, "error", err)
		}
	}()
	return nil
}

// clientKeepAlive finds clients that vanished without a word.
var clientKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

// serveReady tells whether this node takes requests.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ready reports whether this node takes requests.
func (g *Gateway) ready() bool {
	return !g.leaving.Load() && g.configuration.Current() != nil && g.settings.ServesClients
}

// serveResolve tells a client which addresses to use.
func (g *Gateway) serveResolve(w http.ResponseWriter, r *http.Request) {
	addresses := g.addressesFor(platform.DecodeResolve(r))
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err := platform.WriteResolve(w, addresses, min(directoryTTL, g.settings.Bounds.MaxDirectoryTTL)); err != nil {
		g.logger.Debug("directory answer not written", "error", err)
	}
}

// addressesFor returns the front doors of the nodes that take requests, the
// client's failure domain first when not all fit.
func (g *Gateway) addressesFor(q platform.ResolveQuery) []string {
	var near, far []string
	if g.ready() {
		near = append(near, g.settings.Listen.Front)
	}
	for _, p := range g.table.Alive() {
		if !p.Ready || p.Leaving || p.Front == "" || p.Node == g.settings.Node {
			continue
		}
		if p.Domain == q.FailureDomain {
			near = append(near, p.Front)
			continue
		}
		far = append(far, p.Front)
	}
	out := append(near, far...)
	return out[:min(len(out), maxDirectoryAddresses)]
}

// writeJSON answers another node or an operator.
func (g *Gateway) writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		g.logger.Debug("answer not written", "error", err)
	}
}
