// Package standin runs the stand-ins' HTTP servers.
package standin

import (
	"context"
	"net"
	"net/http"
	"time"
)

// readHeaderTimeout bounds how long a client may take to send its header.
const readHeaderTimeout = 5 * time.Second

// Serve serves handler at address until ctx ends.
func Serve(ctx context.Context, address string, handler http.Handler) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err = server.Serve(listener)
	if ctx.Err() != nil {
		return nil
	}
	return err
}
