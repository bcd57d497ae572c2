package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"mangoledge.example/mangoledge/api/callerapi"
	"mangoledge.example/mangoledge/internal/auth"
	"mangoledge.example/mangoledge/internal/ingress"
	"mangoledge.example/mangoledge/internal/settings"
)

// Server serves the caller API on one listener.
type Server struct {
	http *http.Server
}

// NewServer returns a Server for handler that authenticates with tokens, enforces limits and charges the
// memory of bodies to account.
func NewServer(handler *Handler, tokens *auth.Tokens, limits *settings.Limits, account *ingress.Account) (*Server, error) {
	s := new(Server)
	api, err := callerapi.NewServer(handler, &securityHandler{tokens: tokens}, callerapi.WithErrorHandler(s.handleError))
	if err != nil {
		return nil, err
	}
	slots := make(chan struct{}, limits.MaxConcurrent)
	bodies := newBodyLimiter(account, limits.MaxBodyBytes, time.Duration(limits.BodyTimeoutMs)*time.Millisecond)
	s.http = &http.Server{
		Handler:           limitConcurrency(slots, withScope(bodies.limit(flushWrites(api)))),
		ConnState:         ingress.OnState,
		ConnContext:       withConn,
		ReadHeaderTimeout: time.Duration(limits.HeaderTimeoutMs) * time.Millisecond,
		MaxHeaderBytes:    limits.MaxHeaderBytes,
	}
	return s, nil
}

// withScope wraps next so that memory held for a response is released once it was sent.
func withScope(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, scope := ingress.WithScope(r.Context())
		defer scope.End()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// Serve accepts connections on listener until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	return s.http.Serve(listener)
}

// Shutdown stops listening and waits until the requests in progress have ended.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.http.Shutdown(ctx)
}
