package platform

import (
	"net/http"
	"sync"
)

// VerbCount is the number of calls of one verb of a service.
type VerbCount struct {
	Service Service `json:"service"`
	Verb    string  `json:"verb"`
	Calls   uint64  `json:"calls"`
}

// Counts is the response to GET /counts.
type Counts struct {
	// Calls holds the calls by service and verb; opening a watch counts as one call.
	Calls []VerbCount `json:"calls"`
	// WatchesWaiting is the number of open watches.
	WatchesWaiting int `json:"watchesWaiting"`
	// Total is the sum of all calls.
	Total uint64 `json:"total"`
}

// counts counts the calls of all services and the open watches.
type counts struct {
	mu      sync.Mutex
	calls   []VerbCount
	waiting int
}

func newCounts() *counts { return &counts{} }

// add counts one call.
func (c *counts) add(service Service, verb string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.calls {
		if c.calls[i].Service == service && c.calls[i].Verb == verb {
			c.calls[i].Calls++
			return
		}
	}
	c.calls = append(c.calls, VerbCount{Service: service, Verb: verb, Calls: 1})
}

// addWaitingWatches adds delta to the number of open watches.
func (c *counts) addWaitingWatches(delta int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting += delta
}

// snapshot returns the counts so far.
func (c *counts) snapshot() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := Counts{Calls: append([]VerbCount{}, c.calls...), WatchesWaiting: c.waiting}
	for _, v := range out.Calls {
		out.Total += v.Calls
	}
	return out
}

// serve answers GET /counts.
func (c *counts) serve(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, c.snapshot())
}

// Counts returns the calls counted so far.
func (s *Server) Counts() Counts { return s.counts.snapshot() }
