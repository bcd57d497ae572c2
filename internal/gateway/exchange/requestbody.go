package exchange

import (
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/ingress"
)

const (
	// maxUnreadBody is the announced length, in bytes, up to which the body of a refused request may
	// still arrive, within unreadBodyTimeout. Without a length, http.Server reads at most 256 KiB of it.
	maxUnreadBody     = 64 << 10
	unreadBodyTimeout = 3 * time.Second
)

// readBody reads the request body within the configured limits of header and body size, and within
// the memory for bodies.
func (e *exchange) readBody(w http.ResponseWriter, r *http.Request) *refusal {
	if headerSize(r.Header) > e.config.Limits.MaxHeaderBytes {
		return headerTooLargeRefusal
	}
	if r.ContentLength > e.config.Limits.MaxBodyBytes {
		return bodyTooLargeRefusal
	}
	if r.Body == nil || r.ContentLength == 0 {
		return nil
	}
	owner := ingress.Owner{Address: clientIP(r.RemoteAddr), Workspace: e.workspaceName()}
	e.body = e.options.Ingress.NewBody(admittedConn(r), owner, e.deadline, http.NewResponseController(w).SetReadDeadline)
	err := e.body.Receive(http.MaxBytesReader(w, r.Body, e.config.Limits.MaxBodyBytes), r.ContentLength)
	e.request.Body, e.bodyRead = e.body.Pieces(), err == nil
	return e.bodyRefusal(err)
}

// bodyRefusal returns the refusal for an error of Receive, or nil if there is none.
func (e *exchange) bodyRefusal(err error) *refusal {
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return bodyTooLargeRefusal
	case errors.Is(err, ingress.ErrFull):
		return bodyRefusedRefusal("body_memory_full", e.options.Random())
	case errors.Is(err, ingress.ErrEvicted):
		return bodyRefusedRefusal("body_gave_way", e.options.Random())
	case errors.Is(err, os.ErrDeadlineExceeded):
		return tooLateRefusal
	}
	return bodyNotReadRefusal
}

// limitUnreadBody bounds how much of a refused request's body is still read before the next request.
func (e *exchange) limitUnreadBody(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.ContentLength == 0 || e.bodyRead:
	case e.body == nil && r.ContentLength <= maxUnreadBody:
		if http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout)) != nil {
			w.Header().Set("Connection", "close")
		}
	default:
		w.Header().Set("Connection", "close")
	}
}

// releaseBody returns the memory of the request's body.
func (e *exchange) releaseBody() {
	if e.body != nil {
		e.body.Release()
		e.request.Body = nil // a stopped timer may keep the exchange reachable for longer
	}
}

// clientIP returns the IP address of a client's host:port address.
func clientIP(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}
