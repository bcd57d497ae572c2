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
)

const (
	// rpcPath names the encoding, so that nodes with another one are refused and not misread.
	rpcPath = "/rpc/msgpack"
	// readHeaderTimeout bounds how long another node may take to send its request header.
	readHeaderTimeout = 2 * time.Second
	tokenHeader       = "X-Mangoledge-Peer-Token" //nolint:gosec // the name of a header
	pingService       = "Heartbeat"
	pingMethod        = pingService + ".Ping"
)

// Ping is an empty heartbeat.
type Ping struct{}

// Pong answers a Ping.
type Pong struct{}

type heartbeat struct{}

// Ping answers at once.
func (heartbeat) Ping(_ *Ping, _ *Pong) error { return nil }

// Server answers other nodes.
type Server struct {
	rpc   *rpc.Server
	mux   *http.ServeMux
	http  *http.Server
	token string

	// mu guards rpcConns and closed; it is a leaf.
	mu sync.Mutex
	// rpcConns are the connections switched to net/rpc, which net/http has forgotten.
	rpcConns map[net.Conn]struct{}
	closed   bool
}

// NewServer returns a server that lets in nodes that show token.
func NewServer(token string) *Server {
	s := &Server{rpc: rpc.NewServer(), mux: http.NewServeMux(), token: token, rpcConns: make(map[net.Conn]struct{})}
	_ = s.rpc.RegisterName(pingService, heartbeat{})
	s.mux.HandleFunc("CONNECT "+rpcPath, s.serveRPC)
	s.http = &http.Server{Handler: s.checkToken(s.mux), ReadHeaderTimeout: readHeaderTimeout}
	return s
}

// Register offers the methods of receiver under name. Their errors go through EncodeError.
func (s *Server) Register(name string, receiver any) error {
	return s.rpc.RegisterName(name, receiver)
}

// Handle offers handler under pattern, for streams.
func (s *Server) Handle(pattern string, handler http.Handler) {
	s.mux.Handle(pattern, handler)
}

// Serve answers on listener until Close or Shutdown; tlsConfig is nil for plain TCP.
func (s *Server) Serve(listener net.Listener, tlsConfig *tls.Config) error {
	if tlsConfig != nil {
		listener = tls.NewListener(listener, tlsConfig)
	}
	return s.http.Serve(listener)
}

// Shutdown closes the listener, waits for streams in progress, and then closes
// the connections switched to net/rpc.
func (s *Server) Shutdown(ctx context.Context) error {
	defer s.closeRPC()
	return s.http.Shutdown(ctx)
}

// SetToken puts the nodes' shared secret on a request to another node.
func SetToken(req *http.Request, token string) {
	req.Header.Set(tokenHeader, token)
}

func (s *Server) checkToken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		shown := r.Header.Get(tokenHeader)
		if subtle.ConstantTimeCompare([]byte(shown), []byte(s.token)) != 1 {
			http.Error(w, "wrong peer token", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}

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
	if !s.keep(conn) {
		_ = conn.Close()
		return
	}
	defer s.forget(conn)
	s.rpc.ServeCodec(newServerCodec(conn))
}

// keep notes a connection; it reports false when the server has closed.
func (s *Server) keep(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.rpcConns[conn] = struct{}{}
	return true
}

func (s *Server) forget(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.rpcConns, conn)
}

// closeRPC closes the connections switched to net/rpc and takes no new ones.
func (s *Server) closeRPC() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.rpcConns {
		_ = conn.Close()
	}
}

// Close closes the listener and every connection.
func (s *Server) Close() error {
	defer s.closeRPC()
	return s.http.Close()
}
