package admission

import (
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/routing"
	"mangoledge.example/mangoledge/internal/verdict"
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

// Admit accepts a request or says why not; whatever is refused was not run.
func (c *Controller) Admit(now time.Time, r *Request) (*Ticket, *verdict.Error) {
	c.mu.Lock()
	t, refusal := c.admit(now, r)
	if refusal != nil {
		c.counters.Refused++
	}
	shed := c.takeShed()
	c.mu.Unlock()
	c.report(shed)
	if refusal == nil {
		c.signal()
	}
	return t, refusal
}

func (c *Controller) admit(now time.Time, r *Request) (*Ticket, *verdict.Error) {
	limit := c.settings.limit(r.Workspace)
	if limit > 0 && c.accepted[r.Workspace] >= limit {
		return nil, verdict.New(verdict.NotRun, verdict.CodeOverloaded,
			"workspace %s has %d requests accepted, its limit", r.Workspace, limit).After(minRetryAfter)
	}
	l := c.lane(r.Pool)
	l.observe(now)
	l.weigh(r)
	f := l.flow(r.Workspace, c.settings.share(r.Workspace))
	t := &Ticket{Request: *r, flow: f, serial: c.serial, since: now, settled: make(chan struct{})}
	c.serial++
	if refusal := c.makeFeasible(now, l, t); refusal != nil {
		return nil, refusal
	}
	if refusal := c.makeRoom(l, t); refusal != nil {
		return nil, refusal
	}
	f.push(now, t)
	f.arrived(now, r)
	c.accepted[r.Workspace]++
	c.counters.Accepted++
	return t, nil
}

// makeFeasible refuses t when it is unlikely to meet its deadline, unless
// shedding requests of the same workspace that are worth less makes it likely.
func (c *Controller) makeFeasible(now time.Time, l *lane, t *Ticket) *verdict.Error {
	f := t.flow
	left := t.Request.Deadline.Sub(now).Seconds() - c.settings.time(&t.Request).Seconds()
	if left < 0 {
		return verdict.New(verdict.NotRun, verdict.CodeDeadlineUnlikely, "the deadline leaves less time than the request takes")
	}
	ahead, lesser := c.ahead(f, t)
	view := l.outlook(now, f, l.lead(&t.Request))
	expected := view.wait(ahead)
	if expected <= left {
		return nil
	}
	wait := time.Duration(expected * float64(time.Second))
	if view.wait(ahead-lesser) > left {
		return verdict.New(verdict.NotRun, verdict.CodeDeadlineUnlikely,
			"about %v of waiting before the request leave too little time until its deadline", wait.Round(time.Millisecond)).After(clampRetry(wait))
	}
	for view.wait(ahead) > left {
		worst := f.worst()
		if worst == nil || !worst.lessWorth(t) {
			return nil
		}
		ahead -= worst.Request.Cost.Seconds()
		c.drop(worst, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "shed for a request that is worth more").After(clampRetry(wait)))
	}
	return nil
}

// ahead returns the cost that goes before t within its flow, in seconds, and
// how much of it is worth less than t.
func (c *Controller) ahead(f *flow, t *Ticket) (ahead, lesser float64) {
	key := f.lane.key(t.since, &t.Request)
	for _, other := range f.waiting {
		if other.key > key {
			continue
		}
		cost := other.Request.Cost.Seconds()
		ahead += cost
		if other.lessWorth(t) {
			lesser += cost
		}
	}
	return ahead, lesser
}

// makeRoom sheds a request when the lane is full; that may be t itself.
func (c *Controller) makeRoom(l *lane, t *Ticket) *verdict.Error {
	if l.queued < c.settings.MaxQueued {
		return nil
	}
	refusal := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "%d requests are waiting", l.queued).After(l.comeBack())
	victim := l.longest()
	worst := victim.worst()
	own := (t.flow.cost + t.Request.Cost.Seconds()) / t.flow.share
	if victim != t.flow && own >= victim.cost/victim.share {
		return refusal
	}
	if victim == t.flow && !worst.lessWorth(t) {
		return refusal
	}
	c.drop(worst, refusal)
	return nil
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
		l.inFlight++
		f.inFlight++
		t.state = stateRunning
		c.counters.Dispatched++
		close(t.settled)
		return t
	}
}

// Expire sheds the waiting requests that are unlikely to meet their deadlines
// any more, so that each is told at once and not when its turn would have come.
func (c *Controller) Expire(now time.Time) {
	c.mu.Lock()
	for _, l := range c.order {
		for _, f := range l.flows {
			c.expire(now, f)
		}
	}
	shed := c.takeShed()
	c.mu.Unlock()
	c.report(shed)
}

func (c *Controller) expire(now time.Time, f *flow) {
	c.scratch = append(c.scratch[:0], f.waiting...)
	for _, t := range c.scratch {
		if refusal := c.overdue(now, t); refusal != nil {
			c.drop(t, refusal)
		}
	}
	clear(c.scratch)
}

// Overdue returns the refusal of a ticket that is unlikely to meet its deadline
// when it gets a slot at now, or nil. It is for tickets that wait or look for a
// slot; one that was sent to an upstream is not overdue before its deadline.
func (c *Controller) Overdue(now time.Time, t *Ticket) *verdict.Error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.overdue(now, t)
}

func (c *Controller) overdue(now time.Time, t *Ticket) *verdict.Error {
	if !now.After(c.LatestStart(t)) {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.CodeDeadlineUnlikely, "waited until its deadline could no longer be met").
		After(t.flow.lane.comeBack())
}

// LatestStart is when a ticket has to have a slot to be likely to meet its deadline.
func (c *Controller) LatestStart(t *Ticket) time.Time {
	return t.Request.Deadline.Add(-c.settings.time(&t.Request))
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

// Release ends a ticket that was handed out by Next, or withdraws a waiting one.
func (c *Controller) Release(now time.Time, t *Ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch t.state {
	case stateWaiting:
		t.flow.remove(t)
		close(t.settled)
	case stateRunning:
		t.flow.lane.observe(now)
		t.flow.lane.inFlight--
		t.flow.inFlight--
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

// drop sheds a waiting ticket.
func (c *Controller) drop(t *Ticket, refusal *verdict.Error) {
	t.flow.remove(t)
	t.state = stateEnded
	t.refusal = refusal
	close(t.settled)
	c.counters.Shed++
	c.leave(t)
	c.shed = append(c.shed, t)
}

func (c *Controller) leave(t *Ticket) {
	w := t.Request.Workspace
	c.accepted[w]--
	if c.accepted[w] == 0 {
		delete(c.accepted, w)
	}
}

func (c *Controller) takeShed() []*Ticket {
	shed := c.shed
	c.shed = nil
	return shed
}

func (c *Controller) report(shed []*Ticket) {
	if c.settings.OnShed == nil {
		return
	}
	for _, t := range shed {
		c.settings.OnShed(t, t.refusal)
	}
}

func clampRetry(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}
