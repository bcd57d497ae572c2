package rollout

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/platform/objects"
)

// Decode decodes the entry of an order.
type Decode func(objects.Object) (Order, error)

// Options are the dependencies and settings of Rollouts.
type Options struct {
	Decode Decode
	// Share and Slack bound the requests to a version that is not proven: Share of all requests of
	// its service, and Slack requests more, over all nodes.
	Share  float64
	Slack  float64
	Now    func() time.Time
	Logger *slog.Logger
}

// Rollouts holds the orders that a node knows. A nil *Rollouts knows none. It is safe for concurrent
// use.
type Rollouts struct {
	options Options

	mu sync.Mutex
	// trials holds the last order of each service.
	trials map[string]*trial
	// version is the version of the store up to which all changes are included.
	version objects.Version
	// nodes is the number of nodes that share Options.Slack; 0 while it is unknown.
	nodes int
}

// New returns Rollouts without orders.
func New(options Options) *Rollouts {
	return &Rollouts{options: options, trials: make(map[string]*trial)}
}

// Put adds or updates the entry of an order and reports whether it changed anything. An entry that
// can't be decoded is ignored.
func (r *Rollouts) Put(object objects.Object) bool {
	order, err := r.options.Decode(object)
	if err != nil {
		r.options.Logger.Warn("rollout ignored", "rollout", object.Metadata.Name, "error", err)
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.put(order, object)
}

// put is Put for a decoded order. r.mu must be held.
func (r *Rollouts) put(order Order, object objects.Object) bool {
	known := r.trials[order.Service]
	if known != nil && object.Metadata.ResourceVersion <= known.object.Metadata.ResourceVersion {
		return false
	}
	t := known
	if known == nil || !known.order.sameAs(&order) {
		t = newTrial(order, r.options.Now())
		t.exposure.share = shareMargin * r.options.Share
		if known != nil {
			t.inherit(known)
		}
		r.trials[order.Service] = t
	}
	t.order, t.object, t.removed = order, object, false
	if order.State.Ended() {
		t.final = order.State
	}
	r.version = max(r.version, object.Metadata.ResourceVersion)
	r.options.Logger.Info("rollout", "service", order.Service, "target", order.Target, "state", order.State.String(),
		"duration", order.Duration, "fence", order.Fence, "bad", string(t.bad), "version", object.Metadata.ResourceVersion)
	return true
}

// Remove handles the removal of an order's entry, and reports whether it was known. The version that
// was ordered gets no requests from then on, unless the order was completed.
func (r *Rollouts) Remove(object objects.Object) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.remove(object.Metadata.Name)
}

func (r *Rollouts) remove(service string) bool {
	t := r.trials[service]
	if t == nil || t.removed {
		return false
	}
	t.removed = true
	r.options.Logger.Info("rollout removed", "service", service, "target", t.order.Target, "state", t.order.State.String())
	return true
}

// Replace replaces all entries by those of a list, unless the list is older than what is known. It
// reports whether anything changed.
func (r *Rollouts) Replace(list objects.List) (changed bool) {
	listed := make(map[string]bool, len(list.Items))
	for _, object := range list.Items {
		listed[object.Metadata.Name] = true
	}
	r.mu.Lock()
	outdated := list.Metadata.ResourceVersion < r.version
	r.mu.Unlock()
	if outdated {
		return false
	}
	for _, object := range list.Items {
		changed = r.Put(object) || changed
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for service := range r.trials {
		if !listed[service] {
			changed = r.remove(service) || changed
		}
	}
	r.version = max(r.version, list.Metadata.ResourceVersion)
	return changed
}

// RecordVersion records that all changes up to a version of the store were received.
func (r *Rollouts) RecordVersion(version objects.Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = max(r.version, version)
}

// List returns the entries for nodes that follow this one. Its version is 0 while none were read.
func (r *Rollouts) List() objects.List {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := objects.List{Metadata: objects.ListMetadata{ResourceVersion: r.version}}
	for _, service := range slices.Sorted(maps.Keys(r.trials)) {
		if t := r.trials[service]; !t.removed {
			out.Items = append(out.Items, t.object)
		}
	}
	return out
}

// Observation is what is seen of one request at an upstream.
type Observation struct {
	Service  string
	Route    string
	Upstream site.Upstream
	// Latency is the time to the first event, or the time without one until the request was given up;
	// 0 if the observation is of something else.
	Latency time.Duration
	// Ended is true once the upstream ended the request, and Failed if it did so with a failure or an
	// incomplete response.
	Ended  bool
	Failed bool
}

// Observe adds what an upstream answered to the evidence.
func (r *Rollouts) Observe(o *Observation) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.trials[o.Service]; t != nil && t.active() {
		t.observe(o, r.options.Now())
	}
}

// Allows reports whether an upstream may be sent requests: a version that was found bad or rolled back
// may not.
func (r *Rollouts) Allows(u *site.Upstream) bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.trials[u.Service]
	return t == nil || t.removed || t.phase() != phaseOld || t.isOld(u)
}

// Serving returns the upstreams that count as the capacity of a service: those that a rollout does not
// try or replace.
func (r *Rollouts) Serving(service string, list []site.Upstream) []site.Upstream {
	if r == nil {
		return list
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.trials[service]
	switch {
	case t == nil:
		return list
	case t.final == Completed:
		return keepUnlessNone(list, t.isNew)
	}
	return keepUnlessNone(list, t.isOld)
}

// CountActive returns the number of orders being carried out, and how many of their versions were
// found bad.
func (r *Rollouts) CountActive() (active, bad int64) {
	if r == nil {
		return 0, 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.trials {
		if t.active() {
			active++
			if t.bad != "" {
				bad++
			}
		}
	}
	return active, bad
}

// keep returns the upstreams for which use is true.
func keep(list []site.Upstream, use func(*site.Upstream) bool) []site.Upstream {
	out := make([]site.Upstream, 0, len(list))
	for i := range list {
		if use(&list[i]) {
			out = append(out, list[i])
		}
	}
	return out
}

// keepUnlessNone is keep, but returns the whole list if use is true for none.
func keepUnlessNone(list []site.Upstream, use func(*site.Upstream) bool) []site.Upstream {
	if out := keep(list, use); len(out) > 0 {
		return out
	}
	return list
}
