package platform

import (
	"net/http"
	"sync"
)

// VerbCount is how often a verb of a service was called.
type VerbCount struct {
	Service Service `json:"service"`
	Verb    string  `json:"verb"`
	Calls   uint64  `json:"calls"`
}

// Counts is the answer of /counts.
type Counts struct {
	// Calls are the calls by service and verb; opening a watch is one.
	Calls []VerbCount `json:"calls"`
	// WatchesWaiting is how many watches wait now.
	WatchesWaiting int `json:"watchesWaiting"`
	// Total is the sum of all calls.
	Total uint64 `json:"total"`
}

type counts struct {
	mu      sync.Mutex
	calls   []VerbCount
	waiting int
}

func newCounts() *counts { return &counts{} }

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

func (c *counts) waitingWatches(change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting += change
}

func (c *counts) snapshot() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := Counts{Calls: append([]VerbCount{}, c.calls...), WatchesWaiting: c.waiting}
	for _, v := range out.Calls {
		out.Total += v.Calls
	}
	return out
}

func (c *counts) serve(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, c.snapshot())
}

// Counts returns the calls so far.
func (s *Server) Counts() Counts { return s.counts.snapshot() }
