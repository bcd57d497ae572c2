//go:build review

package lab

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
)

// Report is a usage report that the platform accepted.
type Report struct {
	Holder string
	Fence  uint64
	Window int64
	Counts map[string]int64
}

// Cloud is a stand-in of the platform's API for duties. It enforces fencing tokens.
type Cloud struct {
	Address string
	log     *Log
	server  *http.Server

	mu      sync.Mutex
	mute    bool
	reports []Report
	highest map[string]uint64
}

// NewCloud starts the API on a free port of ip.
func NewCloud(ip string, log *Log) (*Cloud, error) {
	c := &Cloud{log: log, highest: map[string]uint64{}}
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	c.Address = listener.Addr().String()
	c.server = &http.Server{Handler: http.HandlerFunc(c.serve)}
	go func() { _ = c.server.Serve(listener) }()
	return c, nil
}

// Close stops the API.
func (c *Cloud) Close() { _ = c.server.Close() }

// SetMute makes the API carry calls out without answering them.
func (c *Cloud) SetMute(mute bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mute = mute
}

// Reports returns the accepted usage reports.
func (c *Cloud) Reports() []Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Report(nil), c.reports...)
}

func (c *Cloud) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	status, mute := c.handle(r, body)
	c.log.Printf("cloud: %s by %s, fence %s -> %d, answered %t: %s", r.URL.Path, r.Header.Get("X-Mangoledge-Duty-Holder"),
		r.Header.Get("X-Mangoledge-Fencing-Token"), status, !mute, body)
	if mute {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}

func (c *Cloud) handle(r *http.Request, body []byte) (status int, mute bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fence, _ := strconv.ParseUint(r.Header.Get("X-Mangoledge-Fencing-Token"), 10, 64)
	var given struct {
		WindowID int64            `json:"window_id"`
		Counts   map[string]int64 `json:"counts"`
		Service  string           `json:"service"`
		Zone     string           `json:"zone"`
	}
	if json.Unmarshal(body, &given) != nil {
		return http.StatusBadRequest, false
	}
	subject := r.URL.Path + " " + given.Service + " " + given.Zone
	if fence < c.highest[subject] {
		return http.StatusConflict, c.mute
	}
	c.highest[subject] = fence
	if r.URL.Path == "/usage" {
		c.reports = append(c.reports, Report{Holder: r.Header.Get("X-Mangoledge-Duty-Holder"), Fence: fence, Window: given.WindowID, Counts: given.Counts})
	}
	return http.StatusOK, c.mute
}
