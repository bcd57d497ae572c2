package peer

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/ingress"
)

const (
	// rpcPath names the encoding, so that nodes with a different one are refused, not misread.
	rpcPath = "/rpc/msgpack"
	// readHeaderTimeout is how long another node may take to send its request header.
	readHeaderTimeout = 2 * time.Second
	// maxHeaderBytes is the largest request header of another node, in bytes.
	maxHeaderBytes = 16 << 10
	tokenHeader    = "X-Mangoledge-Peer-Token" //nolint:gosec // the name of a header
	pingService    = "Heartbeat"
	pingMethod     = pingService + ".Ping"
)

// Ping is the argument of a heartbeat.
type Ping struct{}

// Pong is the reply to a Ping.
type Pong struct{}

// heartbeat is the service that answers heartbeats.
type heartbeat struct{}

// Ping replies at once.
func (heartbeat) Ping(_ *Ping, _ *Pong) error { return nil }

// Server serves calls and streams of other nodes.
type Server struct {
	rpc   *rpc.Server
	mux   *http.ServeMux
	http  *http.Server
	token string
	// frames bounds the long frames that arrive; nil for no limit.
	frames *frameLimit

	// mu guards rpcConns and closed; it is a leaf.
	mu sync.Mutex
	// rpcConns are the connections switched to net/rpc, which net/http no longer tracks.
	rpcConns map[net.Conn]struct{}
	closed   bool
}

// NewServer returns a server that accepts requests with the given peer token.
func NewServer(token string) *Server {
	s := &Server{rpc: rpc.NewServer(), mux: http.NewServeMux(), token: token, rpcConns: make(map[net.Conn]struct{})}
	_ = s.rpc.RegisterName(pingService, heartbeat{})
	s.mux.HandleFunc("CONNECT "+rpcPath, s.serveRPC)
	s.http = &http.Server{
		Handler: s.checkToken(s.mux), ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: ingress.OnState, ConnContext: withConn,
	}
	return s
}

// LimitFrames bounds the memory of the long messages that arrive at once. It is called before Serve.
func (s *Server) LimitFrames(bytes int64) { s.frames = newFrameLimit(bytes) }

// Register serves the methods of receiver under name. They must return errors through
// EncodeError.
func (s *Server) Register(name string, receiver any) error {
	return s.rpc.RegisterName(name, receiver)
}

// Handle registers an HTTP handler for streams.
func (s *Server) Handle(pattern string, handler http.Handler) {
	s.mux.Handle(pattern, handler)
}

// Serve serves listener until Close or Shutdown; tlsConfig is nil for plain TCP.
func (s *Server) Serve(listener net.Listener, tlsConfig *tls.Config) error {
	if tlsConfig != nil {
		listener = tls.NewListener(listener, tlsConfig)
	}
	return s.http.Serve(listener)
}

// Shutdown closes the listener, waits for streams in progress and then closes the net/rpc
// connections.
func (s *Server) Shutdown(ctx context.Context) error {
	defer s.closeRPCConns()
	return s.http.Shutdown(ctx)
}

// SetToken adds the peer token to a request.
func SetToken(req *http.Request, token string) {
	req.Header.Set(tokenHeader, token)
}

// checkToken refuses requests without the peer token and passes the others to next.
func (s *Server) checkToken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received := r.Header.Get(tokenHeader)
		if subtle.ConstantTimeCompare([]byte(received), []byte(s.token)) != 1 {
			http.Error(w, "wrong peer token", http.StatusForbidden)
			return
		}
		conn, _ := r.Context().Value(connKey{}).(*ingress.Conn)
		conn.Trust()
		next.ServeHTTP(w, r)
	})
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// withConn is the ConnContext hook of the server.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, ingress.Admitted(c))
}

// serveRPC switches a connection to net/rpc and serves calls on it until it is closed.
func (s *Server) serveRPC(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, "this connection can't be switched to net/rpc", http.StatusInternalServerError)
		return
	}
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"); err != nil {
		_ = conn.Close()
		return
	}
	if !s.track(conn) {
		_ = conn.Close()
		return
	}
	defer s.untrack(conn)
	s.rpc.ServeCodec(newServerCodec(conn, s.frames))
}

// track adds conn to rpcConns; it returns false if the server is closed.
func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.rpcConns[conn] = struct{}{}
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.rpcConns, conn)
}

// closeRPCConns closes the net/rpc connections and refuses new ones.
func (s *Server) closeRPCConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.rpcConns {
		_ = conn.Close()
	}
}

// Close closes the listener and every connection.
func (s *Server) Close() error {
	defer s.closeRPCConns()
	return s.http.Close()
}
