// Package standin runs the HTTP servers of the stand-ins, which take the place of
// engines, plain services and the platform in tests and the demo.
package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"
)

// readHeaderTimeout is how long a client may take to send its request header.
const readHeaderTimeout = 5 * time.Second

// ListeningPrefix is the text that Announce writes before the address.
const ListeningPrefix = "listening on "

// Announce writes the address of listener to standard error.
func Announce(listener net.Listener) {
	fmt.Fprintln(os.Stderr, ListeningPrefix+listener.Addr().String())
}

// Serve serves handler at address until ctx ends.
func Serve(ctx context.Context, address string, handler http.Handler) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	Announce(listener)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err = server.Serve(listener)
	if ctx.Err() != nil {
		return nil
	}
	return err
}
