//go:build review

package lab

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Result is what a client saw of one request.
type Result struct {
	Attempt string
	// Sent is when the last byte of the request was sent, Ended when the answer or the connection
	// ended.
	Sent, Ended time.Time
	// Status is 0 without an answer.
	Status int
	// Complete is true for an answer that was read to its end.
	Complete bool
	Body     string
	Leaving  bool
	// Close is true if the answer announces the end of the connection.
	Close bool
	Err   error
}

// Conn is one client's connection to a node. It carries one request at a time.
type Conn struct {
	conn   net.Conn
	reader *bufio.Reader
	log    *Log
}

// Dial connects to a node's front port.
func Dial(address string, log *Log) (*Conn, error) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{conn: c, reader: bufio.NewReader(c), log: log}, nil
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.conn.Close() }

// Send sends one request and reads its answer.
func (c *Conn) Send(method, path, attempt, key string, deadline time.Duration) Result {
	r := Result{Attempt: attempt}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: site.example\r\nX-Mangoledge-Attempt-Id: %s\r\nX-Mangoledge-Deadline-Ms: %d\r\n",
		method, path, attempt, deadline.Milliseconds())
	if key != "" {
		head += "Authorization: Bearer " + key + "\r\n"
	}
	if method == http.MethodPost {
		head += "Content-Length: 4\r\n\r\nbody"
	} else {
		head += "\r\n"
	}
	_ = c.conn.SetDeadline(time.Now().Add(deadline))
	_, r.Err = io.Copy(c.conn, strings.NewReader(head))
	r.Sent = time.Now()
	if r.Err == nil {
		c.read(method, &r)
	}
	r.Ended = time.Now()
	c.log.Printf("client %s %s: status %d, complete %t, %.3f s, leaving %t, error %v", attempt, path, r.Status, r.Complete, r.Ended.Sub(r.Sent).Seconds(), r.Leaving, r.Err)
	return r
}

func (c *Conn) read(method string, r *Result) {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		r.Err = err
		return
	}
	defer func() { _ = response.Body.Close() }()
	r.Status, r.Leaving, r.Close = response.StatusCode, response.Header.Get("Server-Leaving") == "1", response.Close
	body, err := io.ReadAll(response.Body)
	r.Body, r.Err, r.Complete = string(body), err, err == nil
}

// Resolve asks a node's directory for the addresses to use, as a client does. It returns none if
// there is no usable answer within a second.
func Resolve(n *Node, zone string) []string {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.Address(DirectoryPort) + "/api/resolve?name=site.example&region=r&zone=" + zone)
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	var out struct {
		Addrs []string `json:"addrs"`
	}
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&out) != nil {
		return nil
	}
	return out.Addrs
}
