package admission

import (
	"time"

	"mangoledge.example/mangoledge/internal/verdict"
)

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
		After(t.flow.lane.comeBack(now))
}

// LatestStart is when a ticket has to have a slot to be likely to meet its deadline.
func (c *Controller) LatestStart(t *Ticket) time.Time {
	return t.Request.Deadline.Add(-c.settings.time(&t.Request))
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
