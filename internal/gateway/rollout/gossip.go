package rollout

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/platform/objects"
)

// PeerReport is a report of another node.
type PeerReport struct {
	Report
	// Age is how long ago it was sent.
	Age time.Duration
	// Leads is true if the node is alive and holds the duty lease.
	Leads bool
}

// maxReports bounds the orders that a message tells of, which must fit into a datagram beside the rest.
const maxReports = 4

// Reports returns what this node tells the others of the orders being carried out: of those that are to
// end first, if there are more than maxReports.
func (r *Rollouts) Reports() []Report {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Report
	now := r.options.Now()
	for _, t := range r.mostUrgent(maxReports) {
		out = append(out, Report{
			Key: keyOf(&t.order), AgeMs: now.Sub(t.since).Milliseconds(),
			Bad: t.bad != "", Moving: !t.leadsMove.IsZero(), Groups: t.own.clone().groups(),
		})
	}
	return out
}

// mostUrgent returns the n orders being carried out that are to end first. r.mu must be held.
func (r *Rollouts) mostUrgent(n int) []*trial {
	active := slices.DeleteFunc(slices.Collect(maps.Values(r.trials)), func(t *trial) bool { return !t.active() })
	slices.SortFunc(active, func(a, b *trial) int {
		return cmp.Or(a.since.Add(a.order.Duration).Compare(b.since.Add(b.order.Duration)), cmp.Compare(a.order.Service, b.order.Service))
	})
	return active[:min(n, len(active))]
}

// Evaluate sums the reports of the nodes and judges the versions of the orders being carried out.
// nodes is the number of nodes that share the slack, or 0 while it is unknown; upstreams holds those
// that may take requests by service.
func (r *Rollouts) Evaluate(reports []PeerReport, nodes int, upstreams map[string][]site.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.nodes = nodes
	now := r.options.Now()
	for service, t := range r.trials {
		if !t.active() {
			continue
		}
		t.selectTried(upstreams[service], now)
		if t.merge(reports, now) {
			r.options.Logger.Warn("version found bad by another node", "service", service, "target", t.order.Target)
		}
		if t.bad != "" {
			continue
		}
		if t.bad = t.judge(now); t.bad != "" {
			total := t.sum.total()
			r.options.Logger.Warn("version found bad", "service", service, "target", t.order.Target, "reason", string(t.bad),
				"after", now.Sub(t.since), "answers", total.New.Answers, "failures", total.New.Failures, "latencies", total.New.Latencies,
				"old_answers", total.Old.Answers, "old_failures", total.Old.Failures, "old_latencies", total.Old.Latencies)
		}
	}
}

// reasonHeard is the reason for a version that another node found bad.
const reasonHeard Reason = "heard"

// merge applies the reports of other nodes, and reports whether one of them says that the version is
// bad, which was not known here.
func (t *trial) merge(reports []PeerReport, now time.Time) (heardBad bool) {
	key := keyOf(&t.order)
	t.sum = *t.own.clone()
	t.followsMove = false
	for i := range reports {
		p := &reports[i]
		if p.Key != key {
			continue
		}
		t.sum.addReport(&p.Report)
		if since := now.Add(-p.Age - time.Duration(p.AgeMs)*time.Millisecond); since.Before(t.since) {
			t.since = since
		}
		t.followsMove = t.followsMove || p.Moving && p.Leads
		if p.Bad && t.bad == "" {
			t.bad, heardBad = reasonHeard, true
		}
	}
	return heardBad
}

// Duty is one order that the lease holder carries out.
type Duty struct {
	Progress
	// Object is the order's entry as last seen.
	Object objects.Object
}

// Duties returns the orders whose end the store does not show, for the lease holder.
func (r *Rollouts) Duties() []Duty {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Duty
	now := r.options.Now()
	for _, service := range slices.Sorted(maps.Keys(r.trials)) {
		t := r.trials[service]
		if t.removed || t.order.State.Ended() {
			continue
		}
		d := Duty{Object: t.object, Progress: Progress{
			Order: t.order, Elapsed: now.Sub(t.since), Bad: t.bad != "", Answers: t.sum.Answers(), Final: t.final,
		}}
		if !t.leadsMove.IsZero() {
			d.Moving = now.Sub(t.leadsMove)
		}
		out = append(out, d)
	}
	return out
}

// LeadMove starts or ends moving all requests of a service to the new version. Only the lease holder
// leads; the other nodes follow its reports.
func (r *Rollouts) LeadMove(service string, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.trials[service]
	switch {
	case t == nil:
	case !on:
		t.leadsMove = time.Time{}
	case t.leadsMove.IsZero():
		t.leadsMove = r.options.Now()
		r.options.Logger.Info("requests move to the new version", "service", service, "target", t.order.Target,
			"after", r.options.Now().Sub(t.since), "answers", t.sum.Answers())
	}
}

// IsNew reports whether an upstream is of the version that an order of its service moves to.
func (r *Rollouts) IsNew(u *site.Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.trials[u.Service]
	return t != nil && t.isNew(u)
}
