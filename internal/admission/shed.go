package admission

import (
	"time"

	"mangoledge.example/mangoledge/internal/verdict"
)

// Expire sheds the waiting requests that are unlikely to meet their deadlines, so that
// their callers learn it at once instead of when the requests would have been dispatched.
func (c *Controller) Expire(now time.Time) {
	c.mu.Lock()
	for _, q := range c.queueOrder {
		for _, f := range q.flows {
			c.expire(now, f)
		}
	}
	shed := c.takeShed()
	c.mu.Unlock()
	c.notifyShed(shed)
}

func (c *Controller) expire(now time.Time, f *flow) {
	c.scratch = append(c.scratch[:0], f.waiting...)
	for _, t := range c.scratch {
		if refusal := c.overdueRefusal(now, t); refusal != nil {
			c.drop(t, refusal)
		}
	}
	clear(c.scratch)
}

// OverdueRefusal returns the refusal for a ticket that is unlikely to meet its deadline even if
// it gets a slot at time now, or nil. It applies to tickets that wait or search for a
// slot; one that was sent to an upstream is not overdue before its deadline.
func (c *Controller) OverdueRefusal(now time.Time, t *Ticket) *verdict.Error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.overdueRefusal(now, t)
}

func (c *Controller) overdueRefusal(now time.Time, t *Ticket) *verdict.Error {
	if !now.After(c.LatestStart(t)) {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.CodeDeadlineUnlikely, "waited until its deadline could no longer be met").
		WithRetryAfter(t.flow.queue.retryAfter(now))
}

// LatestStart returns the latest time at which a ticket has to get a slot to be likely
// to meet its deadline.
func (c *Controller) LatestStart(t *Ticket) time.Time {
	return t.Request.Deadline.Add(-c.settings.maxServiceTime(&t.Request))
}

// drop sheds a waiting ticket.
func (c *Controller) drop(t *Ticket, refusal *verdict.Error) {
	t.flow.remove(t)
	t.state = stateEnded
	t.refusal = refusal
	close(t.settled)
	c.counters.Shed++
	c.decrementAccepted(t)
	c.pendingShed = append(c.pendingShed, t)
}

func (c *Controller) takeShed() []*Ticket {
	shed := c.pendingShed
	c.pendingShed = nil
	return shed
}

func (c *Controller) notifyShed(shed []*Ticket) {
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
