package exchange

import (
	"time"

	"mangoledge.example/mangoledge/internal/gateway/balance"
	"mangoledge.example/mangoledge/internal/gateway/rollout"
	"mangoledge.example/mangoledge/internal/gateway/site"
)

// candidates returns the upstreams that a rollout of the service, if there is one, lets the request be
// sent to.
func (e *exchange) candidates(list []site.Upstream) []site.Upstream {
	if e.versions == nil {
		e.versions = e.options.Rollouts.Choose(e.service.Name, e.route.Name)
	}
	return e.versions.Candidates(list, len(e.triedUpstreams) > 0)
}

// recordVersion records the choice of an upstream for the service's rollout, which then learns how the
// request goes.
func (e *exchange) recordVersion(ticket *balance.Ticket) {
	if e.options.Rollouts == nil {
		return
	}
	e.versions.Picked(&ticket.Upstream)
	ticket.Watcher = &versionWatcher{rollouts: e.options.Rollouts, seen: rollout.Observation{
		Service: e.service.Name, Route: e.route.Name, Upstream: ticket.Upstream,
	}}
}

// versionWatcher passes what is seen of one request to the rollouts.
type versionWatcher struct {
	rollouts *rollout.Rollouts
	seen     rollout.Observation
}

// FirstEvent records the time to the first event.
func (w *versionWatcher) FirstEvent(after time.Duration) {
	seen := w.seen
	seen.Latency = after
	w.rollouts.Observe(&seen)
}

// Ended records how the request ended. A request that ran and was given up before its first event took
// at least that long; one that did not run says nothing.
func (w *versionWatcher) Ended(outcome balance.Outcome, after time.Duration, started bool) {
	seen := w.seen
	seen.Ended = outcome == balance.Answered || outcome == balance.Failed
	seen.Failed = outcome == balance.Failed
	if outcome == balance.Abandoned && !started {
		seen.Latency = after
	}
	w.rollouts.Observe(&seen)
}
