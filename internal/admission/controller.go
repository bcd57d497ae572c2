package admission

import (
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/routing"
)

// Controller accepts requests and hands them out. It is safe for concurrent use.
type Controller struct {
	settings Settings
	ready    chan struct{}

	mu       sync.Mutex
	lanes    map[routing.Pool]*lane
	order    []*lane
	accepted map[ident.Workspace]int
	serial   uint64
	counters Counters
	shed     []*Ticket
	// scratch is space of expire.
	scratch []*Ticket
}

// NewController returns a controller without requests.
func NewController(settings Settings) *Controller {
	settings.fillDefaults()
	return &Controller{
		settings: settings,
		ready:    make(chan struct{}, 1),
		lanes:    make(map[routing.Pool]*lane),
		accepted: make(map[ident.Workspace]int),
	}
}

// Ready yields when something may be handed out. Lanes that were paused by
// Blocked are to be looked at again when their time has come.
func (c *Controller) Ready() <-chan struct{} {
	return c.ready
}

func (c *Controller) signal() {
	select {
	case c.ready <- struct{}{}:
	default:
	}
}

// Next hands out the request of pool that goes next.
func (c *Controller) Next(now time.Time, pool routing.Pool) (*Ticket, bool) {
	c.mu.Lock()
	t := c.next(now, pool)
	shed := c.takeShed()
	c.mu.Unlock()
	c.report(shed)
	return t, t != nil
}

func (c *Controller) next(now time.Time, pool routing.Pool) *Ticket {
	l, ok := c.lanes[pool]
	if !ok || now.Before(l.paused) {
		return nil
	}
	l.observe(now)
	for {
		f := l.next()
		if f == nil {
			return nil
		}
		t := f.waiting[0]
		if refusal := c.overdue(now, t); refusal != nil {
			c.drop(t, refusal)
			continue
		}
		f.remove(t)
		l.charge(f, t.Request.Cost)
		f.ask(now, t)
		c.counters.Dispatched++
		close(t.settled)
		return t
	}
}

// Blocked says that no slot could be had for the requests of pool; nothing is
// handed out until then.
func (c *Controller) Blocked(pool routing.Pool, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l, ok := c.lanes[pool]; ok && until.After(l.paused) {
		l.paused = until
	}
}

// Placed says that a ticket that was handed out by Next has a slot. Until then
// it counts as waiting.
func (c *Controller) Placed(now time.Time, t *Ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.state != stateAsking {
		return
	}
	t.flow.lane.observe(now)
	t.flow.stopAsking(t)
	t.flow.lane.inFlight++
	t.state = stateRunning
}

// Release ends a ticket that was handed out by Next, or withdraws a waiting one.
func (c *Controller) Release(now time.Time, t *Ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch t.state {
	case stateWaiting:
		t.flow.remove(t)
		close(t.settled)
	case stateAsking:
		t.flow.lane.observe(now)
		t.flow.stopAsking(t)
	case stateRunning:
		t.flow.lane.observe(now)
		t.flow.lane.inFlight--
	case stateEnded:
		return
	}
	t.state = stateEnded
	c.counters.Released++
	c.leave(t)
	c.signal()
}

// Waiting returns how many requests wait for pool.
func (c *Controller) Waiting(pool routing.Pool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l, ok := c.lanes[pool]; ok {
		return l.queued
	}
	return 0
}

// Pools appends the pools that have requests waiting to dst and returns it.
func (c *Controller) Pools(dst []routing.Pool) []routing.Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.order {
		if l.queued > 0 {
			dst = append(dst, l.pool)
		}
	}
	return dst
}

// Counters returns what was decided so far.
func (c *Controller) Counters() Counters {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counters
}

func (c *Controller) lane(pool routing.Pool) *lane {
	l, ok := c.lanes[pool]
	if !ok {
		l = newLane(pool)
		c.lanes[pool] = l
		c.order = append(c.order, l)
	}
	return l
}

func (c *Controller) leave(t *Ticket) {
	w := t.Request.Workspace
	c.accepted[w]--
	if c.accepted[w] == 0 {
		delete(c.accepted, w)
	}
}
