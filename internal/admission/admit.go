package admission

import (
	"time"

	"mangoledge.example/mangoledge/internal/verdict"
)

// Admit accepts a request or returns the reason for refusing it. A refused request was not run.
func (c *Controller) Admit(now time.Time, r *Request) (*Ticket, *verdict.Error) {
	c.mu.Lock()
	t, refusal := c.admit(now, r)
	if refusal != nil {
		c.counters.Refused++
	}
	shed := c.takeShed()
	c.mu.Unlock()
	c.notifyShed(shed)
	if refusal == nil {
		c.signal()
	}
	return t, refusal
}

func (c *Controller) admit(now time.Time, r *Request) (*Ticket, *verdict.Error) {
	limit := c.settings.limit(r.Workspace)
	if limit > 0 && c.accepted[r.Workspace] >= limit {
		return nil, verdict.New(verdict.NotRun, verdict.CodeOverloaded,
			"workspace %s has %d requests accepted, its limit", r.Workspace, limit).WithRetryAfter(minRetryAfter)
	}
	q := c.queue(r.Pool)
	q.updateMeanInFlight(now)
	q.addDensity(r)
	f := q.flow(r.Workspace, c.settings.share(r.Workspace))
	t := &Ticket{Request: *r, flow: f, serial: c.nextSerial, admittedAt: now, settled: make(chan struct{})}
	c.nextSerial++
	if refusal := c.makeFeasible(now, q, t); refusal != nil {
		return nil, refusal
	}
	if refusal := c.makeRoom(q, t); refusal != nil {
		return nil, refusal
	}
	f.push(now, t)
	f.recordArrival(now, r)
	c.accepted[r.Workspace]++
	c.counters.Accepted++
	return t, nil
}

// makeFeasible refuses t if it is unlikely to meet its deadline, unless shedding
// less valuable requests of the same workspace makes the deadline feasible.
func (c *Controller) makeFeasible(now time.Time, q *poolQueue, t *Ticket) *verdict.Error {
	f := t.flow
	left := t.Request.Deadline.Sub(now).Seconds() - c.settings.maxServiceTime(&t.Request).Seconds()
	if left < 0 {
		return verdict.New(verdict.NotRun, verdict.CodeDeadlineUnlikely, "the deadline leaves less time than the request takes")
	}
	ahead, lesser := c.costAhead(f, t)
	prediction := q.forecast(now, f, q.boost(&t.Request))
	t.latestStart = c.LatestStart(t)
	prediction.slotWait = q.slotWait(now, t.latestStart)
	expected := prediction.wait(ahead)
	if expected <= left {
		return nil
	}
	wait := time.Duration(expected * float64(time.Second))
	if prediction.wait(ahead-lesser) > left {
		return verdict.New(verdict.NotRun, verdict.CodeDeadlineUnlikely,
			"about %v of waiting before the request leave too little time until its deadline", wait.Round(time.Millisecond)).WithRetryAfter(clampRetry(wait))
	}
	for prediction.wait(ahead) > left {
		victim := f.leastValuableAhead(f.queue.key(now, &t.Request))
		if victim == nil || !t.displaces(victim) {
			return nil
		}
		ahead -= victim.Request.Cost.Seconds()
		c.drop(victim, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "shed for a request that is worth more").WithRetryAfter(clampRetry(wait)))
	}
	return nil
}

// costAhead returns the total cost queued ahead of t within its flow, in seconds,
// and the part of it that t may displace.
func (c *Controller) costAhead(f *flow, t *Ticket) (ahead, lesser float64) {
	key := f.queue.key(t.admittedAt, &t.Request)
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

// makeRoom sheds a waiting request if the queue is full, or returns the refusal of t if t
// itself has to give way.
func (c *Controller) makeRoom(q *poolQueue, t *Ticket) *verdict.Error {
	if q.queued < c.settings.MaxQueued {
		return nil
	}
	refusal := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "%d requests are waiting", q.queued).WithRetryAfter(q.retryAfter(t.admittedAt))
	victim := q.mostBacklogged()
	worst := victim.leastValuable()
	own := (t.flow.waitingCost + t.Request.Cost.Seconds()) / t.flow.share
	if victim != t.flow && own >= victim.waitingCost/victim.share {
		return refusal
	}
	if victim == t.flow && !worst.lessValuable(t) {
		return refusal
	}
	c.drop(worst, refusal)
	return nil
}
