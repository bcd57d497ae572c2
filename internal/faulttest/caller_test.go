package faulttest

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/api/callerapi"
	"mangoledge.example/mangoledge/internal/historycheck"
)

const (
	// callDeadline is the deadline of a caller's request.
	callDeadline = 30 * time.Second
	// callGrace is how long after its deadline a caller may still tell how a request ended.
	callGrace = 30 * time.Second
	// journalInterval is the time between two looks into a caller's journal.
	journalInterval = 5 * time.Millisecond
	// streamTokens is the length of a stream.
	streamTokens = 100
)

// chatCall is an idempotent stream.
func chatCall(input string) callerapi.Submission {
	return callerapi.Submission{
		Kind: "chat", Input: input, Model: callerapi.NewOptString(model), DeadlineMs: callDeadline.Milliseconds(),
		MaxTokens: callerapi.NewOptInt(streamTokens), Idempotent: callerapi.NewOptBool(true), Stream: callerapi.NewOptBool(true),
	}
}

// holdCall is a call of a plain service that must not be repeated.
func holdCall(input string) callerapi.Submission {
	return callerapi.Submission{
		Kind: "dock-hold", Input: input, Service: callerapi.NewOptString(plainService), DeadlineMs: callDeadline.Milliseconds(),
		Idempotent: callerapi.NewOptBool(false),
	}
}

// caller is a caller's process and what its journal has told so far.
//
// Lock order: site.mu is not taken under mu, and no token is told on under it.
type caller struct {
	site    *site
	name    string
	role    role
	journal *journalReader

	mu      sync.Mutex
	process *process
	calls   []*orderedCall
}

// orderedCall is a request that a caller was told to send.
type orderedCall struct {
	order callerOrder
	told  *journalCall
	// token is called at each token; it may be nil.
	token func(offset int)
	done  chan struct{}
}

// newCaller starts a caller's process that knows all nodes as seeds.
func (s *site) newCaller() *caller {
	s.mu.Lock()
	s.callers++
	name := fmt.Sprint("caller", s.callers)
	s.mu.Unlock()
	path := filepath.Join(s.dir, name+".journal")
	c := &caller{site: s, name: name, journal: &journalReader{path: path}}
	c.role = role{Kind: roleCaller, Caller: callerOptions{Token: callerToken, Journal: path}}
	for _, n := range s.nodes {
		c.role.Caller.Seeds = append(c.role.Caller.Seeds, "http://"+n.callers.address)
	}
	c.process = s.startRole(name, c.role)
	go c.follow()
	return c
}

// newCallers starts count callers.
func (s *site) newCallers(count int) []*caller {
	var out []*caller
	for range count {
		out = append(out, s.newCaller())
	}
	return out
}

// kill ends the caller's process without a word.
func (c *caller) kill() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.process.kill()
}

// restart starts the caller's process again. It comes back to the requests in
// its journal; those that it never read are told to it once more.
func (c *caller) restart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	begun := make(map[int]bool)
	entries, err := readJournal(c.journal.path)
	require.NoError(c.site.t, err)
	for i := range entries {
		begun[entries[i].Call] = true
	}
	c.process = c.site.startRole(c.name, c.role)
	for _, o := range c.calls {
		if !begun[o.order.Call] {
			c.tell(&o.order)
		}
	}
}

// tell hands the process an order. One that has ended is told again by restart.
func (c *caller) tell(order *callerOrder) {
	data, err := json.Marshal(order)
	require.NoError(c.site.t, err)
	_, _ = c.process.stdin.Write(append(data, '\n'))
}

// order has the process send a request and waits for its outcome.
func (c *caller) order(order callerOrder, token func(offset int)) historycheck.Call {
	o := &orderedCall{order: order, told: &journalCall{}, token: token, done: make(chan struct{})}
	c.mu.Lock()
	o.order.Call = len(c.calls)
	c.calls = append(c.calls, o)
	c.tell(&o.order)
	c.mu.Unlock()
	limit := time.Duration(order.Submission.DeadlineMs)*time.Millisecond + callGrace
	select {
	case <-o.done:
	case <-time.After(limit):
		c.site.t.Errorf("%s: no outcome of %q %s after it was told to send it", c.name, order.Submission.Input, limit)
		return historycheck.Call{}
	}
	call := o.told.call
	if !call.Complete {
		c.site.t.Logf("%s: %s: %s", c.name, call.Name, o.told.outcome)
	}
	return c.site.keep(call)
}

// follow takes in what the process writes down until the test is over.
func (c *caller) follow() {
	ticker := time.NewTicker(journalInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.site.t.Context().Done():
			return
		case <-ticker.C:
		}
		for _, entry := range c.journal.next() {
			c.take(&entry)
		}
	}
}

func (c *caller) take(entry *journalEntry) {
	c.mu.Lock()
	o := c.calls[entry.Call]
	c.mu.Unlock()
	o.told.apply(entry)
	switch {
	case entry.Event == eventToken && o.token != nil:
		o.token(entry.Offset)
	case entry.Event == eventEnd:
		close(o.done)
	}
}

// keep adds a finished call to the site's history.
func (s *site) keep(call historycheck.Call) historycheck.Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, call)
	return call
}

// send sends a request as a caller does, resends and all; token is called at each token and may be nil.
func (s *site) send(c *caller, sub callerapi.Submission, token func(offset int)) historycheck.Call {
	return c.order(callerOrder{Submission: &sub}, token)
}

// sendTo sends a request once to one node, unstreamed, and waits for the answer.
func (s *site) sendTo(n *node, sub callerapi.Submission) historycheck.Call {
	sub.Stream.Reset()
	s.proberOnce.Do(func() { s.prober = s.newCaller() })
	return s.prober.order(callerOrder{Submission: &sub, To: "http://" + n.callers.address}, nil)
}

// nameOf names a request in reports.
func nameOf(sub *callerapi.Submission) string {
	return strings.TrimSpace(sub.Kind + " " + sub.Input)
}
