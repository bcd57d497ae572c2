// Package platform is a small stand-in for the platform's services: object API,
// cloud API, host list and weight store. It is for tests and the demo only.
//
// Faults of every service are put in force over HTTP at /faults, and its calls are
// counted at /counts. Random decisions come from a generator with a given seed.
//
// Lock order: Server.cloud.mu and Server.objects.mu are leaves; neither is held
// while a response is written or while the other is locked.
package platform

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/standin"
)

const (
	// readHeaderTimeout is how long a client may take to send its request header.
	readHeaderTimeout = 5 * time.Second
	// shutdownTimeout is how long a shutdown waits for calls in progress.
	shutdownTimeout = 2 * time.Second
)

// Options configure a Server.
type Options struct {
	// Seed is the seed of all random decisions.
	Seed uint64
	// Clock returns the time for the cloud, the host list and the weight store; nil for time.Now.
	Clock func() time.Time
	// HostListLag is the age of the host list; 0 for DefaultHostListLag.
	HostListLag time.Duration
	// LoadsPerMinute is the rate at which the weight store lets loads begin; 0 for DefaultLoadsPerMinute.
	LoadsPerMinute float64
}

// Server is the stand-in for the platform. It is an http.Handler.
type Server struct {
	mux     *http.ServeMux
	faults  *faultTable
	counts  *counts
	objects *objectStore
	cloud   *cloud
	hosts   *hostList
	weights *weightStore
}

// NewServer returns a Server without objects or hosts.
func NewServer(options Options) *Server {
	if options.Clock == nil {
		options.Clock = time.Now
	}
	s := &Server{
		mux:     http.NewServeMux(),
		faults:  newFaultTable(options.Seed),
		counts:  newCounts(),
		objects: newObjectStore(),
		cloud:   newCloud(options.Clock),
	}
	s.hosts = newHostList(s.cloud, options)
	s.weights = newWeightStore(options)
	s.routes()
	return s
}

// ServeHTTP answers a call to any of the services.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// routes registers the paths of all services.
func (s *Server) routes() {
	s.mux.HandleFunc("GET /faults", s.faults.serveList)
	s.mux.HandleFunc("POST /faults", s.serveAddFault)
	s.mux.HandleFunc("DELETE /faults", s.faults.serveClear)
	s.mux.HandleFunc("GET /counts", s.counts.serve)
	s.objectRoutes()
	s.cloudRoutes()
	s.mux.HandleFunc("GET /hostlist/v1/hosts", s.withFaults(ServiceHostList, "list", s.hosts.serve))
	s.mux.HandleFunc("POST /weights/v1/loads", s.withFaults(ServiceWeights, "load", s.weights.serve))
}

// Run serves a new Server on listenAddress until ctx ends.
func Run(ctx context.Context, listenAddress string, seed uint64) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", listenAddress)
	if err != nil {
		return errors.Wrap(err, "stand-in platform")
	}
	standin.Announce(listener)
	server := &http.Server{Handler: NewServer(Options{Seed: seed}), ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() {
		bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(bounded) // watches never end by themselves
		_ = server.Close()
	})
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "stand-in platform")
	}
	return nil
}
