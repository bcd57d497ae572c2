package server

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/gateway/exchange"
	"mangoledge.example/mangoledge/internal/ingress"
	projectmetrics "mangoledge.example/mangoledge/internal/metrics"
	"mangoledge.example/mangoledge/platform"
)

const (
	// maxHeaderBytes bounds a request's headers until a configuration sets its own limit.
	maxHeaderBytes = 128 << 10
	// headerTimeout bounds the time to read a request's headers until a configuration sets its own
	// limit.
	headerTimeout = 15 * time.Second
	// maxInternalHeaderBytes bounds a request's headers at the listeners that do not serve client requests.
	maxInternalHeaderBytes = 16 << 10
	// internalIdleTimeout is how long the listeners that do not serve client requests keep idle
	// connections.
	internalIdleTimeout = 30 * time.Second
	// internalWriteTimeout is how long they take for a request, with the writing of the response.
	internalWriteTimeout = 30 * time.Second
	// directoryTTL is how long clients may cache a directory response. Some cache it three times
	// as long, and a stopping node waits for that time.
	directoryTTL = time.Second
	// maxDirectoryAddresses limits the addresses in one directory response.
	maxDirectoryAddresses = 64
)

// joinPort returns the host:port address of a port on ip.
func joinPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// listen opens all listeners named in the settings.
func (g *Gateway) listen(ctx context.Context) error {
	front := &http.Server{
		Handler: g.handler(), MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: headerTimeout,
		ConnState: g.idleConns.onConnState, ConnContext: exchange.ConnContext, ErrorLog: debugErrorLog(g.logger),
	}
	readyMux := http.NewServeMux()
	readyMux.HandleFunc("GET "+platform.ReadyPath, g.serveReady)
	readyMux.HandleFunc("GET "+platform.ResolvePath, g.serveResolve)
	controlMux := http.NewServeMux()
	controlMux.HandleFunc("GET "+snapshotPath, g.serveSnapshot)
	controlMux.HandleFunc("GET "+configPath, g.serveConfig)
	controlMux.HandleFunc("GET "+statePath, g.serveState)
	metricsMux := http.NewServeMux()
	metricsMux.Handle("GET /metrics", projectmetrics.Handler(g.registry))
	metricsMux.HandleFunc("GET "+statePath, g.serveState)
	metricsMux.HandleFunc("GET "+explainRoutePath, g.serveExplainRoute)
	if err := g.openListener(ctx, g.settings.Listen.Frontend, front, g.clientConns); err != nil {
		return err
	}
	for address, handler := range map[string]http.Handler{
		g.settings.Listen.Readiness: readyMux,
		g.settings.Listen.Directory: readyMux,
		g.settings.Listen.Control:   controlMux,
		g.settings.Listen.Metrics:   metricsMux,
	} {
		if address == g.settings.Listen.Frontend {
			continue
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, WriteTimeout: internalWriteTimeout, IdleTimeout: internalIdleTimeout, MaxHeaderBytes: maxInternalHeaderBytes, ConnState: ingress.OnState, ErrorLog: debugErrorLog(g.logger)}
		conns := ingress.NewConnTable(ingress.InternalConnLimits(g.settings.MaxDescriptors, g.settings.MemoryMB), g.receiveBuffers, time.Now)
		if err := g.openListener(ctx, address, server, conns); err != nil {
			return err
		}
	}
	return nil
}

// openListener listens on address and serves it in the background, with the connections that conns admits.
// An empty address is ignored.
func (g *Gateway) openListener(ctx context.Context, address string, server *http.Server, conns *ingress.ConnTable) error {
	if address == "" {
		return nil
	}
	listener, err := ingress.Listen(ctx, net.ListenConfig{KeepAliveConfig: clientKeepAlive}, "tcp4", address, conns)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	g.servers = append(g.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			g.logger.Error("listener stopped", "address", address, "error", err)
		}
	}()
	return nil
}

// clientKeepAlive detects clients that disappeared without closing the connection.
var clientKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

// serveReady responds with 200 if this node accepts requests, otherwise with 503.
func (g *Gateway) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !g.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ready reports whether this node accepts requests.
func (g *Gateway) ready() bool {
	return !g.leaving.Load() && g.configuration.Current() != nil && g.settings.ServesClients
}

// serveResolve returns the addresses that a client should use.
func (g *Gateway) serveResolve(w http.ResponseWriter, r *http.Request) {
	addresses := g.addressesFor(platform.DecodeResolve(r))
	if len(addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if err := platform.WriteResolve(w, addresses, min(directoryTTL, g.settings.Bounds.MaxDirectoryTTL)); err != nil {
		g.logger.Debug("failed to write directory response", "error", err)
	}
}

// addressesFor returns the client-facing addresses of the nodes that accept requests. Those in the
// client's failure domain come first, in case not all fit.
func (g *Gateway) addressesFor(q platform.ResolveQuery) []string {
	var near, far []string
	if g.ready() {
		near = append(near, g.settings.Listen.Frontend)
	}
	for _, p := range g.peerTable.Alive() {
		if !p.Ready || p.Leaving || p.FrontendAddress == "" || p.Node == g.settings.Node {
			continue
		}
		if p.FailureDomain == q.FailureDomain {
			near = append(near, p.FrontendAddress)
			continue
		}
		far = append(far, p.FrontendAddress)
	}
	out := append(near, far...)
	return out[:min(len(out), maxDirectoryAddresses)]
}

// writeJSON writes a response to another node or an operator.
func (g *Gateway) writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		g.logger.Debug("failed to write response", "error", err)
	}
}
