package capacity

import (
	"context"
	"slices"
	"strings"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/cloud"
)

const (
	// upstreamPrefix begins the IDs of the upstreams that this package lists; others are left alone.
	upstreamPrefix = "up-"
	// defaultSlots is how many requests an engine runs at once until it says otherwise.
	defaultSlots = 16
)

// publish puts the upstreams of each ledger into the registry where they differ.
// What fails is tried again at the next pass. It reports whether none differed.
func (r *Reconciler) publish(ctx context.Context, planned []*Ledger) (same bool) {
	same = true
	listed := make(map[ident.FailureDomain][]fleet.Upstream)
	for _, u := range r.options.Registry.Upstreams() {
		if isManaged(u) {
			listed[u.FailureDomain] = append(listed[u.FailureDomain], u)
		}
	}
	for _, l := range planned {
		wanted := r.upstreams(ctx, l, listed[l.FailureDomain])
		if slices.EqualFunc(wanted, listed[l.FailureDomain], sameListing) {
			continue
		}
		same = false
		err := r.options.Registry.Set(ctx, l.FailureDomain, func(current []fleet.Upstream) []fleet.Upstream {
			others := slices.DeleteFunc(slices.Clone(current), isManaged)
			return append(others, wanted...)
		})
		if err != nil {
			r.options.Logger.Warn("upstreams not published", "failureDomain", l.FailureDomain, "error", err)
		}
	}
	return same
}

func isManaged(u fleet.Upstream) bool { return strings.HasPrefix(string(u.ID), upstreamPrefix) }

// upstreamOf returns the ID of the upstream on a host.
func upstreamOf(host ident.Host) ident.Upstream {
	return ident.Upstream(upstreamPrefix + string(host))
}

// hostOf returns the host of an upstream that this package lists.
func hostOf(upstream ident.Upstream) (ident.Host, bool) {
	host, ok := strings.CutPrefix(string(upstream), upstreamPrefix)
	return ident.Host(host), ok
}

// sameListing compares what a ledger decides about an upstream.
func sameListing(a, b fleet.Upstream) bool {
	return a.ID == b.ID && a.URL == b.URL && a.State == b.State &&
		slices.Equal(a.Models, b.Models) && slices.Equal(a.Adapters, b.Adapters)
}

// upstreams returns what the ledger's hosts serve, ordered by ID.
func (r *Reconciler) upstreams(ctx context.Context, l *Ledger, listed []fleet.Upstream) []fleet.Upstream {
	var out []fleet.Upstream
	for _, i := range l.Intents {
		if i.Address == "" || i.Phase == PhaseStarting || i.Phase == PhaseLoading {
			continue
		}
		out = append(out, r.upstream(ctx, i, listed))
	}
	slices.SortFunc(out, func(a, b fleet.Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}

func (r *Reconciler) upstream(ctx context.Context, i Intent, listed []fleet.Upstream) fleet.Upstream {
	id := upstreamOf(i.Host)
	state := fleet.StateReady
	if i.Phase != PhaseReady {
		state = fleet.StateLeaving
	}
	return fleet.Upstream{
		ID: id, URL: "http://" + i.Address, Host: i.Host, HostClass: i.Pool.HostClass,
		Region: r.options.RegionOf(i.Pool.FailureDomain), FailureDomain: i.Pool.FailureDomain,
		Models: []ident.Model{i.Model}, Adapters: i.Loaded, Slots: r.slots(ctx, i, id, listed),
		PricePerHour: i.PricePerHour, Reclaimable: i.Pool.Market == cloud.MarketReclaimable,
		ChecksFencing: r.fenced(i.Pool), State: state,
	}
}

func (r *Reconciler) fenced(pool cloud.Pool) bool {
	site := r.options.Site.Current()
	return site != nil && checksFencing(site, pool)
}

// slots returns how many requests an upstream runs at once: as listed, or as its engine says.
func (r *Reconciler) slots(ctx context.Context, i Intent, id ident.Upstream, listed []fleet.Upstream) int {
	for _, u := range listed {
		if u.ID == id {
			return u.Slots
		}
	}
	status, err := r.options.Engines.Status(ctx, i.Address)
	if err != nil || status.Slots <= 0 {
		return defaultSlots
	}
	return status.Slots
}
