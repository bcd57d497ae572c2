package dispatch

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"

	"mangoledge.example/mangoledge/internal/peer"
	"mangoledge.example/mangoledge/internal/verdict"
)

const (
	submitPath = "/v1/forward/submit"
	resumePath = "/v1/forward/resume"
	// forwardHeaderTimeout is how long another node may take to accept a forwarded request.
	forwardHeaderTimeout = 2 * time.Second
	// forwardIdleTimeout is how long a forwarded stream may send nothing; nodes send a
	// heartbeat every second.
	forwardIdleTimeout = 3 * time.Second
	// maxForwardIdleConns is the maximum number of idle connections per node.
	maxForwardIdleConns = 64
	// maxSendingBytes is the maximum length of all long inputs that are sent to other nodes at once, in bytes. Each
	// is copied a few times.
	maxSendingBytes = 2 << 20
	// shortInput is the length up to which inputs are sent without a limit, in bytes.
	shortInput = 64 << 10
	// sendingTimeout is how long an input counts as being sent.
	sendingTimeout = 250 * time.Millisecond
)

// forwarder forwards requests to other nodes.
type forwarder struct {
	dialer peer.Dialer
	http   *http.Client
	// sending bounds the long inputs of submissions that are being encoded and sent.
	sending *semaphore.Weighted
	// reserve reserves memory for a long answer, until the scope in ctx ends.
	reserve func(ctx context.Context) error
}

func newForwarder(dialer peer.Dialer, reserve func(ctx context.Context) error) *forwarder {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return dialer.Dial(ctx, address)
		},
		ResponseHeaderTimeout: forwardHeaderTimeout,
		MaxIdleConnsPerHost:   maxForwardIdleConns,
		IdleConnTimeout:       forwardIdleTimeout,
		DisableCompression:    true,
	}
	return &forwarder{dialer: dialer, http: &http.Client{Transport: transport}, sending: semaphore.NewWeighted(maxSendingBytes), reserve: reserve}
}

func (f *forwarder) close() {
	f.http.CloseIdleConnections()
}

func (f *forwarder) submit(ctx context.Context, address string, sub Submission) (Attachment, error) {
	sub.Forwarded = true
	sent, err := f.startSending(ctx, int64(len(sub.Spec.Input)))
	if err != nil {
		return nil, err
	}
	defer sent()
	return f.open(ctx, address, submitPath, &sub)
}

// startSending waits until a long input may be encoded and sent, and returns what ends it. A node that doesn't
// answer holds up the others for sendingTimeout only.
func (f *forwarder) startSending(ctx context.Context, length int64) (sent func(), err error) {
	if length <= shortInput {
		return func() {}, nil
	}
	length = min(length, maxSendingBytes)
	if err := f.sending.Acquire(ctx, length); err != nil {
		return nil, err
	}
	sent = sync.OnceFunc(func() { f.sending.Release(length) })
	time.AfterFunc(sendingTimeout, sent)
	return sent, nil
}

func (f *forwarder) resume(ctx context.Context, address string, res Resumption) (Attachment, error) {
	res.Forwarded = true
	return f.open(ctx, address, resumePath, &res)
}

// open sends body to path at address. A refusal by the other node is returned as a
// *verdict.Error, and isFinalRefusal tells whether it is final; any other error means
// that the node can't be reached.
func (f *forwarder) open(ctx context.Context, address, path string, body any) (Attachment, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	sent := &payload{data: data}
	ctx, cancel := context.WithCancel(ctx)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, sent.reader())
	if err != nil {
		cancel()
		return nil, err
	}
	req.ContentLength = int64(len(data))
	req.GetBody = func() (io.ReadCloser, error) { return sent.reader(), nil }
	peer.SetToken(req, f.dialer.Token)
	resp, err := f.http.Do(req)
	sent.drop() // the response refers to its request
	if err != nil {
		cancel()
		return nil, err
	}
	if resp.StatusCode == http.StatusOK {
		return &remoteAttachment{body: resp.Body, cancel: cancel, reserve: f.reserve}, nil
	}
	defer cancel()
	defer func() { _ = resp.Body.Close() }()
	refusal := new(verdict.Error)
	if err := json.NewDecoder(resp.Body).Decode(refusal); err != nil || refusal.Code == "" {
		return nil, errors.Newf("the node at %s answered %s", address, resp.Status)
	}
	return nil, refusal
}

// isFinalRefusal reports whether err is another node's decision that ends the request.
// A refusal because that node is stopping, does not know the request or lost its holder
// is not final.
func isFinalRefusal(err error) bool {
	var refusal *verdict.Error
	if !errors.As(err, &refusal) {
		return false
	}
	return refusal.Code != verdict.CodeStopping && refusal.Code != verdict.CodeUnknownRequest && refusal.Code != verdict.CodeNodeLost
}
