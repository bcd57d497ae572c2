//go:build review

package kit2

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// Key is the key of the first tenant.
const Key = "key-of-tenant-1"

// Answer is what a client got.
type Answer struct {
	Status    int
	Header    http.Header
	Body      string
	Framing   string
	Err       error
	Began     time.Time
	FirstByte time.Time
	Ended     time.Time
}

// Complete reports whether the answer looks complete to a client: it has the length it announces, its last
// chunk, or, without either, its connection ended in good order (and not inside an event of a stream).
func (a *Answer) Complete() bool {
	if a.Err != nil {
		return false
	}
	if a.Framing == "connection" && a.Header.Get("Content-Type") == "text/event-stream" {
		return strings.HasSuffix(a.Body, "\n\n")
	}
	return true
}

// Send sends one request on a new connection and reads the answer to its end. A request without a body
// is a GET.
func Send(front, path, id, body string, deadline time.Duration, ask Ask, more ...string) *Answer {
	out := &Answer{Began: time.Now()}
	c, err := net.DialTimeout("tcp4", front, time.Second)
	if err != nil {
		out.Err = err
		return out
	}
	defer c.Close()
	out.exchange(c, path, id, body, deadline, ask, more)
	return out
}

func (a *Answer) exchange(c net.Conn, path, id, body string, deadline time.Duration, ask Ask, more []string) {
	defer func() { a.Ended = time.Now() }()
	method := http.MethodGet
	if body != "" {
		method = http.MethodPost
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: site.example\r\nX-Mangoledge-Attempt-Id: %s\r\nX-Mangoledge-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nX-Ask: %s\r\n",
		method, path, id, deadline.Milliseconds(), Key, ask.Encode())
	for _, line := range more {
		head += line + "\r\n"
	}
	if body != "" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_ = c.SetDeadline(time.Now().Add(deadline + 2*time.Second))
	if _, err := io.WriteString(c, head+"\r\n"+body); err != nil {
		a.Err = err
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		a.Err = err
		return
	}
	a.FirstByte = time.Now()
	a.Status, a.Header = resp.StatusCode, resp.Header
	switch {
	case len(resp.TransferEncoding) > 0:
		a.Framing = "chunks"
	case resp.ContentLength >= 0:
		a.Framing = "length"
	default:
		a.Framing = "connection"
	}
	data, err := io.ReadAll(resp.Body)
	a.Body = string(data)
	if err != nil && !errors.Is(err, io.EOF) {
		a.Err = err
	}
}

// Record is the file record.txt of a case.
type Record struct {
	mu   sync.Mutex
	file *os.File
	t0   time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{file: f, t0: time.Now()}, err
}

// Say writes a line with the time since the start.
func (r *Record) Say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(r.t0).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.file, line)
	if os.Getenv("REVIEW_VERBOSE") != "" {
		fmt.Println(line)
	}
}

// SayReplica writes what a replica has written.
func (r *Record) SayReplica(replicas ...*Replica) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, replica := range replicas {
		for _, line := range replica.Lines() {
			fields := strings.SplitN(line, " ", 2)
			var ms int64
			_, _ = fmt.Sscan(fields[0], &ms)
			fmt.Fprintf(r.file, "%8.3f replica %s\n", time.UnixMilli(ms).Sub(r.t0).Seconds(), fields[1])
		}
	}
}

// Config returns a configuration with a route of each kind on one service.
func Config(version int) map[string]any {
	route := func(name, kind, service string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": "site.example", "path_prefix": "/" + name + "/", "route_kind": kind, "timeout_ms": 15000,
			"target_latency_ms": 600, "priority": 1, "service": service, "max_attempts": attempts, "public": false,
			"sticky": false, "resumable": resumable, "target_gap_ms": 300,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("once", "non_idempotent", "app", 1, false), route("twice", "non_idempotent", "app", 2, false),
			route("again", "idempotent", "app", 2, false),
			route("stream", "streaming", "app", 1, false), route("resume", "streaming", "app", 2, true),
		},
		"services": []any{map[string]any{"name": "app", "health_path": "/healthz", "max_conns": 490, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
		"tenants":  []any{map[string]any{"name": "tenant-1", "api_keys": []string{Key}, "rate_per_s": 0, "burst": 0}},
	}
}
