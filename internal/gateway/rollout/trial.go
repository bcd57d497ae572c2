package rollout

import (
	"maps"
	"slices"
	"time"

	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/platform/objects"
	"mangoledge.example/mangoledge/internal/rendezvous"
)

const (
	// recentWindow is the time over which the versions are also compared, beside the whole trial: a
	// fault that comes late is a small part of the whole.
	recentWindow = 3 * time.Second
	// failureSpacing is the time within which further failures of one upstream count as one: an
	// upstream that crashes loses all its requests at once.
	failureSpacing = 50 * time.Millisecond
)

// phase is which versions may take requests.
type phase uint8

const (
	// phaseTry sends the new version no more than its share.
	phaseTry phase = iota
	// phaseMove sends all requests to the new version while it has upstreams.
	phaseMove
	// phaseNew excludes all other versions.
	phaseNew
	// phaseOld excludes the new version.
	phaseOld
)

// trial is what a node knows of one order. It is guarded by Rollouts.mu.
type trial struct {
	order  Order
	object objects.Object
	// since is when the order came, as far as any node has told.
	since time.Time
	// final is the order's end, once the store has shown it.
	final State
	// removed is true once the order's entry was removed.
	removed bool
	// rejected holds the targets of earlier orders that were not completed.
	rejected map[string]bool

	exposure exposure
	own      Evidence
	// sum is the evidence of all nodes; history holds earlier sums, oldest first.
	sum     Evidence
	history []pastSum
	// bad is why the version was found bad.
	bad Reason
	// leadsMove is since when this node, as the lease holder, moves all requests; zero while not.
	leadsMove time.Time
	// followsMove is true while a lease holder that is alive says that all requests move.
	followsMove bool
	// tried holds the IDs of the new upstreams that take requests before the version is proven.
	tried map[string]bool
	// coldUntil is until when an upstream, by ID, is slow after its start.
	coldUntil map[string]time.Time
	// failedAt is when an upstream, by ID, last failed a request.
	failedAt map[string]time.Time
}

// pastSum is the evidence of all nodes at an earlier time.
type pastSum struct {
	at  time.Time
	sum *Evidence
}

func newTrial(order Order, now time.Time) *trial {
	return &trial{
		order: order, since: now, rejected: make(map[string]bool), tried: make(map[string]bool),
		coldUntil: make(map[string]time.Time), failedAt: make(map[string]time.Time),
	}
}

// phase returns which versions may take requests now.
func (t *trial) phase() phase {
	switch {
	case t.final == Completed:
		return phaseNew
	case t.final == RolledBack, t.removed, t.bad != "":
		return phaseOld
	case t.followsMove, !t.leadsMove.IsZero():
		return phaseMove
	}
	return phaseTry
}

// active reports whether the order is being carried out.
func (t *trial) active() bool { return t.final == Ordered && !t.removed }

// isOld reports whether an upstream is of a version that served before the order.
func (t *trial) isOld(u *site.Upstream) bool {
	return u.Version != t.order.Target && !t.rejected[u.Version]
}

// isNew reports whether an upstream is of the order's version.
func (t *trial) isNew(u *site.Upstream) bool { return u.Version == t.order.Target }

// isTried reports whether an upstream takes requests before its version is proven.
func (t *trial) isTried(u *site.Upstream) bool { return t.isNew(u) && t.tried[u.ID] }

// selectTried chooses the new upstreams that are tried: as large a part of the service as the share of
// its requests that they get, so that each is as busy as an old one. All nodes choose the same.
func (t *trial) selectTried(list []site.Upstream, now time.Time) {
	old, news := 0, []site.Upstream{}
	for i := range list {
		u := &list[i]
		switch {
		case t.isOld(u):
			old++
		case t.isNew(u):
			news = append(news, *u)
			if _, known := t.coldUntil[u.ID]; !known {
				t.coldUntil[u.ID] = now.Add(u.ColdFor)
			}
		}
	}
	warm := slices.DeleteFunc(slices.Clone(news), func(u site.Upstream) bool { return t.isCold(&u, now) })
	if len(warm) > 0 {
		news = warm
	}
	score := func(u site.Upstream) uint64 { return rendezvous.Score(t.order.Target, u.ID) }
	slices.SortFunc(news, func(a, b site.Upstream) int {
		if score(a) > score(b) {
			return -1
		}
		return 1
	})
	n := max(1, int(t.exposure.share*float64(old)+0.5))
	clear(t.tried)
	for _, u := range news[:min(n, len(news))] {
		t.tried[u.ID] = true
	}
}

func (t *trial) isCold(u *site.Upstream, now time.Time) bool { return now.Before(t.coldUntil[u.ID]) }

// observe adds what an upstream answered.
func (t *trial) observe(o *Observation, now time.Time) {
	pair := &t.own[groupOf(o.Route)]
	counts := &pair.Old
	switch {
	case t.isNew(&o.Upstream):
		counts = &pair.New
	case !t.isOld(&o.Upstream):
		return
	}
	if o.Latency > 0 && !t.isCold(&o.Upstream, now) {
		counts.addLatencies(bucketOf(o.Latency), 1)
	}
	if !o.Ended {
		return
	}
	if o.Failed {
		if now.Sub(t.failedAt[o.Upstream.ID]) < failureSpacing {
			return
		}
		t.failedAt[o.Upstream.ID] = now
		counts.Failures++
	}
	counts.Answers++
}

// judge compares the versions by the evidence of all nodes, over the whole trial and over its last
// seconds.
func (t *trial) judge(now time.Time) Reason {
	recent := t.recent(now)
	if reason := compareFailures(&t.sum); reason != "" {
		return reason
	}
	if reason := compareFailures(recent); reason != "" {
		return reason
	}
	if t.phase() == phaseMove {
		return "" // the versions are not equally busy
	}
	if reason := compareLatencies(&t.sum); reason != "" {
		return reason
	}
	return compareLatencies(recent)
}

// recent returns the evidence of the last seconds. Where the old version answered too little in them,
// it is that of the whole trial.
func (t *trial) recent(now time.Time) *Evidence {
	if n := len(t.history); n == 0 || now.Sub(t.history[n-1].at) >= recentWindow/3 {
		t.history = append(t.history, pastSum{at: now, sum: t.sum.clone()})
	}
	for len(t.history) > 1 && now.Sub(t.history[1].at) >= recentWindow {
		t.history = t.history[1:]
	}
	out := t.sum.since(t.history[0].sum)
	for i := range out {
		if out[i].Old.Answers < minOldAnswers {
			out[i].Old = t.sum[i].Old
		}
	}
	return out
}

// inherit takes over what is known from the order before.
func (t *trial) inherit(before *trial) {
	maps.Copy(t.rejected, before.rejected)
	if before.final != Completed {
		t.rejected[before.order.Target] = true
	}
	delete(t.rejected, t.order.Target)
}
