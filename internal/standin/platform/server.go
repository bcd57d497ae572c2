// Package platform is a small stand-in for the platform's services: object API,
// cloud API, host list and weight store. It serves tests and the demo only.
//
// Every service can be made faulty over HTTP at /faults, and counts its calls
// at /counts. What happens by chance comes from a seed.
//
// Lock order: Server.cloud.mu and Server.objects.mu are leaves; neither is held
// while an answer is written, nor while the other is taken.
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
	// readHeaderTimeout bounds how long a client may take to send its header.
	readHeaderTimeout = 5 * time.Second
	// shutdownTimeout bounds how long the end waits for calls in progress.
	shutdownTimeout = 2 * time.Second
)

// Options configure a Server.
type Options struct {
	// Seed decides whatever happens by chance.
	Seed uint64
	// Clock gives the time of the bill, the host list and the weight store; nil for time.Now.
	Clock func() time.Time
	// HostListLag is how old the host list is; 0 for DefaultHostListLag.
	HostListLag time.Duration
	// LoadsPerMinute is the weight store's rate; 0 for DefaultLoadsPerMinute.
	LoadsPerMinute float64
}

// Server is the stand-in. It is an http.Handler.
type Server struct {
	mux     *http.ServeMux
	faults  *faultTable
	counts  *counts
	objects *objectStore
	cloud   *cloud
	hosts   *hostList
	weights *weightStore
}

// NewServer returns a stand-in without objects or hosts.
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

func (s *Server) routes() {
	s.mux.HandleFunc("GET /faults", s.faults.serveList)
	s.mux.HandleFunc("POST /faults", s.serveAddFault)
	s.mux.HandleFunc("DELETE /faults", s.faults.serveClear)
	s.mux.HandleFunc("GET /counts", s.counts.serve)
	s.objectRoutes()
	s.cloudRoutes()
	s.mux.HandleFunc("GET /hostlist/v1/hosts", s.service(ServiceHostList, "list", s.hosts.serve))
	s.mux.HandleFunc("POST /weights/v1/loads", s.service(ServiceWeights, "load", s.weights.serve))
}

// Run serves a stand-in on listenAddress until ctx ends.
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
