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
	// outcomeGracePeriod is how long after the deadline of a request its caller may report the outcome.
	outcomeGracePeriod = 30 * time.Second
	// journalPollInterval is the time between two reads of a caller's journal.
	journalPollInterval = 5 * time.Millisecond
	// streamTokens is the length of a stream in tokens.
	streamTokens = 100
)

// chatSubmission returns an idempotent chat request whose answer is streamed.
func chatSubmission(input string) callerapi.Submission {
	return callerapi.Submission{
		Kind: "chat", Input: input, Model: callerapi.NewOptString(model), DeadlineMs: callDeadline.Milliseconds(),
		MaxTokens: callerapi.NewOptInt(streamTokens), Idempotent: callerapi.NewOptBool(true), Stream: callerapi.NewOptBool(true),
	}
}

// dockHoldSubmission returns a non-idempotent call of the plain service.
func dockHoldSubmission(input string) callerapi.Submission {
	return callerapi.Submission{
		Kind: "dock-hold", Input: input, Service: callerapi.NewOptString(plainService), DeadlineMs: callDeadline.Milliseconds(),
		Idempotent: callerapi.NewOptBool(false),
	}
}

// caller is a caller's process and the state that its journal has reported so far.
//
// Lock order: while mu is held, site.mu is not taken and onToken is not called.
type caller struct {
	site    *site
	name    string
	role    role
	journal *journalReader

	mu      sync.Mutex
	process *process
	calls   []*orderedCall
}

// orderedCall is a request that a caller was ordered to send.
type orderedCall struct {
	order callerOrder
	// state is the state of the request according to the journal.
	state *callState
	// onToken is called with the offset of each token; it may be nil.
	onToken func(offset int)
	done    chan struct{}
}

// newCaller starts a caller's process with all nodes as seeds.
func (s *site) newCaller() *caller {
	s.mu.Lock()
	s.startedCallers++
	name := fmt.Sprint("caller", s.startedCallers)
	s.mu.Unlock()
	path := filepath.Join(s.dir, name+".journal")
	c := &caller{site: s, name: name, journal: &journalReader{path: path}}
	c.role = role{Kind: roleCaller, Caller: callerOptions{Token: callerToken, Journal: path}}
	for _, n := range s.nodes {
		c.role.Caller.Seeds = append(c.role.Caller.Seeds, "http://"+n.callerLink.address)
	}
	c.process = s.startRole(name, c.role)
	go c.followJournal()
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

// kill ends the caller's process with SIGKILL.
func (c *caller) kill() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.process.kill()
}

// restart restarts the caller's process. The process resends the unfinished requests in
// its journal; orders that the earlier process never read are sent again.
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
			c.sendOrder(&o.order)
		}
	}
}

// sendOrder writes an order to the process. A write error is ignored: restart sends
// the order again to the next process.
func (c *caller) sendOrder(order *callerOrder) {
	data, err := json.Marshal(order)
	require.NoError(c.site.t, err)
	_, _ = c.process.stdin.Write(append(data, '\n'))
}

// execute has the process send a request, waits for its outcome and records the call.
func (c *caller) execute(order callerOrder, token func(offset int)) historycheck.Call {
	o := &orderedCall{order: order, state: &callState{}, onToken: token, done: make(chan struct{})}
	c.mu.Lock()
	o.order.Call = len(c.calls)
	c.calls = append(c.calls, o)
	c.sendOrder(&o.order)
	c.mu.Unlock()
	limit := time.Duration(order.Submission.DeadlineMs)*time.Millisecond + outcomeGracePeriod
	select {
	case <-o.done:
	case <-time.After(limit):
		c.site.t.Errorf("%s: no outcome of %q within %s of the order to send it", c.name, order.Submission.Input, limit)
		return historycheck.Call{}
	}
	call := o.state.call
	if !call.Complete {
		c.site.t.Logf("%s: %s: %s", c.name, call.Name, o.state.outcome)
	}
	return c.site.recordCall(call)
}

// followJournal applies the entries that the process writes to its journal until the test is over.
func (c *caller) followJournal() {
	ticker := time.NewTicker(journalPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.site.t.Context().Done():
			return
		case <-ticker.C:
		}
		for _, entry := range c.journal.readNew() {
			c.applyEntry(&entry)
		}
	}
}

// applyEntry updates the state of the entry's request, calls onToken for a token and ends
// the wait of execute at the outcome.
func (c *caller) applyEntry(entry *journalEntry) {
	c.mu.Lock()
	o := c.calls[entry.Call]
	c.mu.Unlock()
	o.state.apply(entry)
	switch {
	case entry.Event == eventToken && o.onToken != nil:
		o.onToken(entry.Offset)
	case entry.Event == eventEnd:
		close(o.done)
	}
}

// recordCall adds a finished call to the site's history and returns it.
func (s *site) recordCall(call historycheck.Call) historycheck.Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, call)
	return call
}

// send sends a request as a caller does, with resends. token is called with the offset of
// each token and may be nil.
func (s *site) send(c *caller, sub callerapi.Submission, token func(offset int)) historycheck.Call {
	return c.execute(callerOrder{Submission: &sub}, token)
}

// sendTo sends a request once to one node, without streaming, and waits for the answer.
func (s *site) sendTo(n *node, sub callerapi.Submission) historycheck.Call {
	sub.Stream.Reset()
	s.proberOnce.Do(func() { s.prober = s.newCaller() })
	return s.prober.execute(callerOrder{Submission: &sub, To: "http://" + n.callerLink.address}, nil)
}

// callName returns the name of a request in reports.
func callName(sub *callerapi.Submission) string {
	return strings.TrimSpace(sub.Kind + " " + sub.Input)
}
