package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/ingress"
	"mangoledge.example/mangoledge/internal/verdict"
)

const (
	// bodyRetryAfter is the retry delay for requests whose body there is no memory for.
	bodyRetryAfter = 400 * time.Millisecond
	// decodeSlots is the number of bodies that are decoded at once. Decoding copies a body a few times.
	decodeSlots = 1
	// smallBody is the size up to which bodies are decoded without a slot, in bytes.
	smallBody = 64 << 10
)

// errNoMemory refuses a request for lack of memory. This send was not run, but an earlier one of the same ID
// may have been accepted.
var errNoMemory = verdict.New(verdict.MayHaveRun, verdict.CodeOverloaded,
	"no memory for the request body on this node; this send was not run, the same ID may be sent to another address").WithRetryAfter(bodyRetryAfter)

// requestBody is the body of a request, whose memory is charged to an account. It is received whole at the
// first read, which comes once the caller is authenticated.
type requestBody struct {
	source io.ReadCloser
	// request is the request that the handler gets. It must be the same one, not a copy: see decoded.
	request *http.Request
	writer  http.ResponseWriter
	account *ingress.Account
	// conn is the connection; nil if no ingress.Listener has admitted it.
	conn *ingress.Conn
	// timeout is how long the body may take to arrive.
	timeout time.Duration
	// slots bounds the bodies that are decoded at once.
	slots chan struct{}

	// workspace is the authenticated caller's; empty before.
	workspace string
	received  bool
	body      *ingress.Body
	// reader reads the pieces of the body.
	reader io.Reader
	err    error
	// leaveSlot gives back the slot for decoding.
	leaveSlot func()
}

// bodyKey is the key of a request's *requestBody in its context.
type bodyKey struct{}

// bodyOf returns the body of the request with the given context, or nil.
func bodyOf(ctx context.Context) *requestBody {
	b, _ := ctx.Value(bodyKey{}).(*requestBody)
	return b
}

// Read reads from the received body.
func (b *requestBody) Read(p []byte) (int, error) {
	if !b.received {
		b.received = true
		b.err = b.receive()
	}
	if b.err != nil {
		return 0, b.err
	}
	return b.reader.Read(p)
}

// Close closes the source.
func (b *requestBody) Close() error { return b.source.Close() }

// receive receives the whole body and takes a slot for decoding it.
func (b *requestBody) receive() error {
	owner := ingress.Owner{Address: clientAddress(b.request), Workspace: b.workspace}
	b.body = b.account.NewBody(b.conn, owner, time.Now().Add(b.timeout), b.setReadDeadline)
	if err := b.body.Receive(b.source, b.request.ContentLength); err != nil {
		b.writer.Header().Set("Connection", "close")
		if errors.Is(err, ingress.ErrFull) || errors.Is(err, ingress.ErrEvicted) {
			return errNoMemory
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return verdict.New(verdict.MayHaveRun, verdict.CodeDeadline, "the request body did not arrive in time; this send was not run")
		}
		return err
	}
	b.reader = b.body.Reader()
	if b.body.Size() <= smallBody {
		return nil
	}
	return b.enterSlot()
}

// setReadDeadline sets the time at which a read of the connection fails. A body that comes from no connection
// has none.
func (b *requestBody) setReadDeadline(at time.Time) error {
	err := http.NewResponseController(b.writer).SetReadDeadline(at)
	if errors.Is(err, http.ErrNotSupported) {
		return nil
	}
	return err
}

// enterSlot waits for a slot, or until the caller is gone.
func (b *requestBody) enterSlot() error {
	ctx := b.request.Context()
	select {
	case b.slots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	b.leaveSlot = sync.OnceFunc(func() { <-b.slots })
	return nil
}

// decoded ends decoding: the pieces are not read any more. It may be called more than once.
func (b *requestBody) decoded() {
	if b.leaveSlot != nil {
		b.leaveSlot()
	}
	b.reader, b.request.Body = http.NoBody, http.NoBody // the generated code keeps a copy there
	if b.body != nil {
		b.body.DropPieces()
	}
}

// release ends the request. The memory of a request that was accepted stays charged until it has run.
func (b *requestBody) release() {
	b.decoded()
	if b.body != nil {
		b.body.Release()
	}
}

// clientAddress returns the IP address of a request's client.
func clientAddress(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// withConn is the ConnContext hook of the server.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, ingress.Admitted(c))
}

// bodyLimiter charges the bodies of requests to an account.
type bodyLimiter struct {
	account *ingress.Account
	// maxBytes is the largest body, and timeout how long one may take to arrive.
	maxBytes int64
	timeout  time.Duration
	slots    chan struct{}
}

func newBodyLimiter(account *ingress.Account, maxBytes int64, timeout time.Duration) *bodyLimiter {
	return &bodyLimiter{account: account, maxBytes: maxBytes, timeout: timeout, slots: make(chan struct{}, decodeSlots)}
}

// limit bounds the size of request bodies, their memory and the time in which they arrive.
func (l *bodyLimiter) limit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		conn, _ := r.Context().Value(connKey{}).(*ingress.Conn)
		body := &requestBody{
			source: http.MaxBytesReader(w, r.Body, l.maxBytes), writer: w,
			account: l.account, conn: conn, timeout: l.timeout, slots: l.slots,
		}
		body.request = r.WithContext(context.WithValue(r.Context(), bodyKey{}, body))
		body.request.Body = body
		defer body.release()
		// The server reads a part of a body that the handler left unread.
		if body.setReadDeadline(time.Now().Add(l.timeout)) != nil {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, body.request)
	})
}
