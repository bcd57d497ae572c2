//go:build review

package kit3

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Replica is a stand-in of a replica that speaks over raw connections.
type Replica struct {
	ID, Service, Zone string
	Slots             int
	listener          net.Listener
	site              *Site
	born              int64

	// Handle answers one request. It returns false if the connection is to be closed.
	Handle func(*Call) bool

	mu   sync.Mutex
	runs map[string]int
	// busyUntil is until when new connections are accepted slowly, one each busyPause.
	busyUntil time.Time
}

// busyPause is the time between two connections that a busy replica accepts.
const busyPause = time.Second

// Busy makes the replica accept new connections slowly for d.
func (r *Replica) Busy(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.busyUntil = time.Now().Add(d)
}

func (r *Replica) busy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Now().Before(r.busyUntil)
}

// Address returns where the replica listens.
func (r *Replica) Address() string { return r.listener.Addr().String() }

// Call is a request as it arrived at a replica. Its body may not have been read.
type Call struct {
	*http.Request
	Replica *Replica
	Conn    net.Conn
	// Number counts the requests of the connection, from 1.
	Number int
	ID     string
	// Previous is the ID of the request before on this connection, or empty.
	Previous string
}

// StartReplica starts a replica and registers it in the store.
func (s *Site) StartReplica(id, service, zone string, slots int, handle func(*Call) bool) (*Replica, error) {
	r := &Replica{ID: id, Service: service, Zone: zone, Slots: slots, site: s, Handle: handle, born: time.Now().UnixMilli(), runs: make(map[string]int)}
	var err error
	if s.Backlog > 0 {
		if r.listener, err = listenWith(s.Prefix+".210", s.Backlog); err != nil {
			return nil, err
		}
		go r.accept()
		s.Store.Put("servers", id, r.Entry("ready"))
		return r, nil
	}
	config := net.ListenConfig{}
	if s.ReceiveBuffer > 0 {
		config.Control = func(_, _ string, socket syscall.RawConn) error {
			return socket.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, s.ReceiveBuffer)
			})
		}
	}
	if r.listener, err = config.Listen(context.Background(), "tcp4", s.Prefix+".210:0"); err != nil {
		return nil, err
	}
	go r.accept()
	s.Store.Put("servers", id, r.Entry("ready"))
	return r, nil
}

// Entry returns the replica's entry in the store.
func (r *Replica) Entry(state string) map[string]any {
	return map[string]any{
		"service": r.Service, "addr": r.listener.Addr().String(), "zone": r.Zone, "version": "v1", "slots": r.Slots,
		"state": state, "cold_remaining_ms": 0, "seq": 1, "born": r.born, "stage": "hybrid",
		"models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}},
	}
}

func (r *Replica) accept() {
	for {
		if r.busy() {
			time.Sleep(busyPause)
		}
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

// Ran counts a run of the request and writes it into the record.
func (c *Call) Ran() {
	r := c.Replica
	r.mu.Lock()
	r.runs[c.ID]++
	n := r.runs[c.ID]
	r.mu.Unlock()
	r.site.Record.Add("replica %s runs %s (%s %s, tenant %q), run %d", r.ID, c.ID, c.Method, c.URL.Path, c.Header.Get("X-Mangoledge-Tenant"), n)
}

// Runs returns how often the replica ran a request.
func (r *Replica) Runs(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

func (r *Replica) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReaderSize(conn, 4096)
	previous := ""
	for n := 1; ; n++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		c := &Call{Request: req, Replica: r, Conn: conn, Number: n, ID: req.Header.Get("X-Mangoledge-Attempt-Id"), Previous: previous}
		previous = c.ID
		if req.Header.Get("X-Mangoledge-Expect-Replica") != r.ID {
			_, _ = io.Copy(io.Discard, req.Body)
			fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Mangoledge-Attempt-Id: %s\r\nX-Mangoledge-Replica-Id: %s\r\nContent-Length: 0\r\n\r\n", c.ID, r.ID)
			continue
		}
		if !r.Handle(c) {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
	}
}

// Head returns the head of the replica's answer, without the blank line.
func (c *Call) Head(status string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nX-Mangoledge-Attempt-Id: %s\r\nX-Mangoledge-Server-Signature: sig.%s.%s\r\n", status, c.ID, c.Replica.ID, c.ID)
}

// Answer writes a whole answer with a length.
func (c *Call) Answer(status, body string) bool {
	_, err := fmt.Fprintf(c.Conn, "%sContent-Length: %d\r\n\r\n%s", c.Head(status), len(body), body)
	return err == nil
}

// Stream writes n events, one each pause, in chunks.
func (c *Call) Stream(n int, pause time.Duration) bool {
	if _, err := io.WriteString(c.Conn, c.Head("200 OK")+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return false
	}
	for i := 1; i <= n; i++ {
		e := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", i, i, c.ID)
		if _, err := fmt.Fprintf(c.Conn, "%x\r\n%s\r\n", len(e), e); err != nil {
			c.Replica.site.Record.Add("replica %s: the connection of %s broke at piece %d: %v", c.Replica.ID, c.ID, i, err)
			return false
		}
		time.Sleep(pause)
	}
	_, err := io.WriteString(c.Conn, "0\r\n\r\n")
	if err == nil {
		c.Replica.site.Record.Add("replica %s wrote all %d pieces of %s", c.Replica.ID, n, c.ID)
	}
	return err == nil
}

// Route is a route of the configuration.
func Route(name, prefix, kind, service string, timeoutMs int, change map[string]any) map[string]any {
	out := map[string]any{
		"name": name, "host": "site.example", "path_prefix": prefix, "route_kind": kind, "timeout_ms": timeoutMs, "target_latency_ms": 600,
		"priority": 1, "service": service, "max_attempts": 1, "public": false, "sticky": kind == "streaming", "resumable": false,
	}
	if kind == "streaming" {
		out["target_gap_ms"] = 300
	}
	for k, v := range change {
		out[k] = v
	}
	return out
}

// PutConfig writes a configuration as the operator does.
func (s *Site) PutConfig(version int, routes []map[string]any, tenants map[string]string) {
	var list []any
	for name, key := range tenants {
		list = append(list, map[string]any{"name": name, "api_keys": []string{key}, "rate_per_s": 0, "burst": 0})
	}
	services := []any{
		map[string]any{"name": "pool", "health_path": "/healthz", "max_conns": 490, "engine": map[string]any{"slots": 96, "kv_capacity": 317000}},
		map[string]any{"name": "portal", "health_path": "/healthz", "max_conns": 100},
	}
	s.Store.Put("config", "main", map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// Request is a request of a client.
type Request struct {
	Method, Path, ID, Key string
	DeadlineMs            int
	Header                map[string]string
	Body                  string
}

// Answer is what a client got.
type Answer struct {
	Status    int
	ID        string
	Signature string
	Body      string
	// Err is why the answer is not whole; nil for a whole one.
	Err error
}

// Client is one client connection, kept for several requests.
type Client struct {
	conn   net.Conn
	reader *bufio.Reader
	site   *Site
}

// Dial connects to a node.
func (s *Site) Dial(address string) (*Client, error) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Client{conn: c, reader: bufio.NewReader(c), site: s}, nil
}

// Close closes the connection.
func (c *Client) Close() { _ = c.conn.Close() }

// Do sends a request and reads its answer.
func (c *Client) Do(r *Request) *Answer {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: site.example\r\nX-Mangoledge-Attempt-Id: %s\r\nX-Mangoledge-Deadline-Ms: %d\r\n", r.Method, r.Path, r.ID, r.DeadlineMs)
	if r.Key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", r.Key)
	}
	for k, v := range r.Header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if r.Method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	b.WriteString("\r\n")
	b.WriteString(r.Body)
	_ = c.conn.SetDeadline(time.Now().Add(time.Duration(r.DeadlineMs+1000) * time.Millisecond))
	c.site.Record.Add("client sends %s (%s %s, %d B)", r.ID, r.Method, r.Path, len(r.Body))
	out := &Answer{}
	if _, out.Err = io.WriteString(c.conn, b.String()); out.Err == nil {
		out.read(c.reader, r.Method)
	}
	c.site.Record.Add("client got for %s: status %d, id %q, signature %q, %d B, error %v", r.ID, out.Status, out.ID, out.Signature, len(out.Body), out.Err)
	return out
}

func (a *Answer) read(reader *bufio.Reader, method string) {
	resp, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		a.Err = err
		return
	}
	a.Status, a.ID, a.Signature = resp.StatusCode, resp.Header.Get("X-Mangoledge-Attempt-Id"), resp.Header.Get("X-Mangoledge-Server-Signature")
	body, err := io.ReadAll(resp.Body)
	a.Body, a.Err = string(body), err
}

// JSON returns a value as JSON, for the record.
func JSON(v any) string {
	data, _ := json.Marshal(v)
	return string(data)
}

// ReadBody reads the whole body of the request.
func (c *Call) ReadBody() bool {
	_, err := io.Copy(io.Discard, c.Body)
	if err != nil {
		c.Replica.site.Record.Add("replica %s: the body of %s broke off: %v", c.Replica.ID, c.ID, err)
	}
	return err == nil
}

// listenWith listens at a free port of an IP address, with a queue of new connections of the given length.
func listenWith(ip string, backlog int) (net.Listener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer func() { _ = file.Close() }()
	address := &syscall.SockaddrInet4{}
	copy(address.Addr[:], net.ParseIP(ip).To4())
	if err := syscall.Bind(fd, address); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, backlog); err != nil {
		return nil, err
	}
	return net.FileListener(file)
}

// StreamUnframed writes n events, one each pause, and ends the answer with its connection.
func (c *Call) StreamUnframed(n int, pause time.Duration) {
	if _, err := io.WriteString(c.Conn, c.Head("200 OK")+"Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"); err != nil {
		return
	}
	for i := 1; i <= n; i++ {
		if _, err := fmt.Fprintf(c.Conn, "id: %d\ndata: piece %d of %s\n\n", i, i, c.ID); err != nil {
			c.Replica.site.Record.Add("replica %s: the connection of %s broke at piece %d: %v", c.Replica.ID, c.ID, i, err)
			return
		}
		time.Sleep(pause)
	}
	c.Replica.site.Record.Add("replica %s wrote all %d pieces of %s and closes its connection", c.Replica.ID, n, c.ID)
}
