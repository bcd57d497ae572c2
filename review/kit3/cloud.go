//go:build review

package kit3

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// CloudCall is a call to the platform's API.
type CloudCall struct {
	At       time.Time
	Path     string
	Holder   string
	Fence    uint64
	Window   int64
	Counts   map[string]int64
	Service  string
	Zone     string
	Desired  int
	Accepted bool
}

// Cloud is a stand-in of the platform's API. It refuses calls with a lower fencing token than one seen for the same
// duty and subject.
type Cloud struct {
	listener net.Listener
	server   *http.Server

	mu      sync.Mutex
	highest map[string]uint64
	calls   []CloudCall
}

// NewCloud starts the platform's API on loopback.
func NewCloud(address string) (*Cloud, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	c := &Cloud{listener: l, highest: make(map[string]uint64)}
	c.server = &http.Server{Handler: http.HandlerFunc(c.serve)}
	go func() { _ = c.server.Serve(l) }()
	return c, nil
}

// Address returns where the API listens.
func (c *Cloud) Address() string { return c.listener.Addr().String() }

// Close ends the API.
func (c *Cloud) Close() { _ = c.server.Close() }

// Calls returns all calls in the order of their arrival.
func (c *Cloud) Calls() []CloudCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]CloudCall(nil), c.calls...)
}

func (c *Cloud) serve(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Window  int64            `json:"window_id"`
		Counts  map[string]int64 `json:"counts"`
		Service string           `json:"service"`
		Zone    string           `json:"zone"`
		Desired int              `json:"desired"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	call := CloudCall{At: time.Now(), Path: r.URL.Path, Holder: r.Header.Get("X-Mangoledge-Duty-Holder"), Window: body.Window, Counts: body.Counts, Service: body.Service, Zone: body.Zone, Desired: body.Desired}
	call.Fence, _ = strconv.ParseUint(r.Header.Get("X-Mangoledge-Fencing-Token"), 10, 64)
	subject := call.Path + " " + call.Service + " " + call.Zone
	c.mu.Lock()
	defer c.mu.Unlock()
	call.Accepted = call.Fence >= c.highest[subject]
	c.calls = append(c.calls, call)
	if !call.Accepted {
		w.WriteHeader(http.StatusConflict)
		return
	}
	c.highest[subject] = call.Fence
	w.WriteHeader(http.StatusOK)
}
