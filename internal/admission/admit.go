package admission

import (
	"time"

	"mangoledge.example/mangoledge/internal/verdict"
)

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
	t.latest = c.LatestStart(t)
	view.looking = l.looking(now, t.latest)
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
		worst := f.worstAhead(f.lane.key(now, &t.Request))
		if worst == nil || !t.displaces(worst) {
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
		if t.displaces(other) {
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
	refusal := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "%d requests are waiting", l.queued).After(l.comeBack(t.since))
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
