package admission

import (
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/routing"
)

// Controller admits requests and dispatches them. It is safe for concurrent use.
type Controller struct {
	settings Settings
	ready    chan struct{}

	mu     sync.Mutex
	queues map[routing.Pool]*poolQueue
	// queueOrder are the queues in the order in which they were created.
	queueOrder []*poolQueue
	// accepted counts the accepted requests that have not ended, by workspace.
	accepted   map[ident.Workspace]int
	nextSerial uint64
	counters   Counters
	// pendingShed are the shed tickets for which OnShed has not been called yet.
	pendingShed []*Ticket
	// scratch is a buffer reused by expire.
	scratch []*Ticket
}

// NewController returns a controller without requests.
func NewController(settings Settings) *Controller {
	settings.fillDefaults()
	return &Controller{
		settings: settings,
		ready:    make(chan struct{}, 1),
		queues:   make(map[routing.Pool]*poolQueue),
		accepted: make(map[ident.Workspace]int),
	}
}

// Ready receives a value when a request may be dispatched. It does not signal the end
// of a pause set by Pause; the caller has to try again at that time.
func (c *Controller) Ready() <-chan struct{} {
	return c.ready
}

func (c *Controller) signal() {
	select {
	case c.ready <- struct{}{}:
	default:
	}
}

// Next dispatches the next request of pool. It returns false if there is none or the
// pool is paused.
func (c *Controller) Next(now time.Time, pool routing.Pool) (*Ticket, bool) {
	c.mu.Lock()
	t := c.next(now, pool)
	shed := c.takeShed()
	c.mu.Unlock()
	c.notifyShed(shed)
	return t, t != nil
}

func (c *Controller) next(now time.Time, pool routing.Pool) *Ticket {
	q, ok := c.queues[pool]
	if !ok || now.Before(q.pausedUntil) {
		return nil
	}
	q.updateMeanInFlight(now)
	for {
		f := q.nextFlow()
		if f == nil {
			return nil
		}
		t := f.waiting[0]
		if refusal := c.overdueRefusal(now, t); refusal != nil {
			c.drop(t, refusal)
			continue
		}
		f.remove(t)
		q.charge(f, t.Request.Cost)
		f.startSlotSearch(now, t)
		c.counters.Dispatched++
		close(t.settled)
		return t
	}
}

// Pause stops dispatching requests of pool until the given time, because no slot was free.
func (c *Controller) Pause(pool routing.Pool, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if q, ok := c.queues[pool]; ok && until.After(q.pausedUntil) {
		q.pausedUntil = until
	}
}

// Placed records that a ticket returned by Next has got a slot. Until then the ticket
// counts as searching for one.
func (c *Controller) Placed(now time.Time, t *Ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.state != stateSearching {
		return
	}
	t.flow.queue.updateMeanInFlight(now)
	t.flow.endSlotSearch(t)
	t.flow.queue.inFlight++
	t.state = stateRunning
}

// Release ends a ticket returned by Next, or withdraws a waiting one.
func (c *Controller) Release(now time.Time, t *Ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch t.state {
	case stateWaiting:
		t.flow.remove(t)
		close(t.settled)
	case stateSearching:
		t.flow.queue.updateMeanInFlight(now)
		t.flow.endSlotSearch(t)
	case stateRunning:
		t.flow.queue.updateMeanInFlight(now)
		t.flow.queue.inFlight--
	case stateEnded:
		return
	}
	t.state = stateEnded
	c.counters.Released++
	c.decrementAccepted(t)
	c.signal()
}

// Waiting returns the number of requests waiting for pool.
func (c *Controller) Waiting(pool routing.Pool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if q, ok := c.queues[pool]; ok {
		return q.queued
	}
	return 0
}

// Pools appends the pools with waiting requests to dst and returns the extended slice.
func (c *Controller) Pools(dst []routing.Pool) []routing.Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, q := range c.queueOrder {
		if q.queued > 0 {
			dst = append(dst, q.pool)
		}
	}
	return dst
}

// Counters returns the counts of decisions so far.
func (c *Controller) Counters() Counters {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counters
}

func (c *Controller) queue(pool routing.Pool) *poolQueue {
	q, ok := c.queues[pool]
	if !ok {
		q = newPoolQueue(pool)
		c.queues[pool] = q
		c.queueOrder = append(c.queueOrder, q)
	}
	return q
}

func (c *Controller) decrementAccepted(t *Ticket) {
	w := t.Request.Workspace
	c.accepted[w]--
	if c.accepted[w] == 0 {
		delete(c.accepted, w)
	}
}
