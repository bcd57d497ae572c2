package rollout

import "mangoledge.example/mangoledge/internal/gateway/site"

// Choice is the choice of versions for one request. It is not safe for concurrent use.
type Choice struct {
	rollouts *Rollouts
	service  string
	group    int
	// decided is true once it was decided whether the request tries the new version.
	decided bool
	// reserved is true while the request is counted as one that tries the new version and has not been
	// sent there.
	reserved bool
	// sent is true once the request was counted as sent.
	sent bool
}

// Choose begins the choice for a request of a route to a service.
func (r *Rollouts) Choose(service, route string) *Choice {
	return &Choice{rollouts: r, service: service, group: groupOf(route)}
}

// Candidates returns the upstreams of the list that the request may be sent to now. Repeats of a
// request do not go to a version that is not proven.
func (c *Choice) Candidates(list []site.Upstream, isRepeat bool) []site.Upstream {
	if c.rollouts == nil {
		return list
	}
	c.rollouts.mu.Lock()
	defer c.rollouts.mu.Unlock()
	t := c.rollouts.trials[c.service]
	if t == nil {
		return list
	}
	switch t.phase() {
	case phaseNew:
		return keepUnlessNone(list, t.isNew)
	case phaseOld:
		if t.removed {
			return keepUnlessNone(list, t.isOld)
		}
		return keep(list, t.isOld)
	case phaseMove:
		if out := keep(list, t.isNew); len(out) > 0 && !c.decided {
			return out
		}
		return keep(list, func(u *site.Upstream) bool { return t.isOld(u) || t.isNew(u) })
	case phaseTry:
	}
	return c.candidatesOfTrial(t, list, isRepeat)
}

// candidatesOfTrial is Candidates while the new version is tried. Rollouts.mu must be held.
func (c *Choice) candidatesOfTrial(t *trial, list []site.Upstream, isRepeat bool) []site.Upstream {
	if !c.decided && !isRepeat {
		c.decided = true
		t.exposure.slack = c.rollouts.slack()
		if t.exposure.permits(c.group) && len(keep(list, t.isTried)) > 0 {
			c.reserved = true
			t.exposure.recordNew(c.group, 1)
		}
	}
	if c.reserved && !isRepeat {
		return keep(list, t.isTried)
	}
	return keep(list, t.isOld)
}

// slack returns this node's part of the requests permitted beyond the share. r.mu must be held.
func (r *Rollouts) slack() float64 {
	if r.nodes <= 0 {
		return 0
	}
	return slackMargin * r.options.Slack / float64(r.nodes)
}

// FallBack gives up trying the new version for the request, because none of its upstreams is
// available, and reports whether that widens the choice.
func (c *Choice) FallBack() bool {
	if c.rollouts == nil {
		return false
	}
	c.rollouts.mu.Lock()
	defer c.rollouts.mu.Unlock()
	t := c.rollouts.trials[c.service]
	if t == nil {
		return false
	}
	moving := t.phase() == phaseMove && !c.decided
	c.decided = true
	return c.giveBack(t) || moving
}

// giveBack drops the reservation, and reports whether there was one. Rollouts.mu must be held.
func (c *Choice) giveBack(t *trial) bool {
	if !c.reserved {
		return false
	}
	c.reserved = false
	t.exposure.recordNew(c.group, -1)
	return true
}

// Picked records that the request is sent to an upstream.
func (c *Choice) Picked(u *site.Upstream) {
	if c.rollouts == nil {
		return
	}
	c.rollouts.mu.Lock()
	defer c.rollouts.mu.Unlock()
	t := c.rollouts.trials[c.service]
	if t == nil {
		return
	}
	if !c.sent {
		c.sent = true
		t.exposure.record(c.group)
	}
	switch {
	case !t.isNew(u):
		c.giveBack(t)
	case c.reserved:
		c.reserved = false
	default:
		t.exposure.recordNew(c.group, 1)
	}
}
