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
	// upstreamPrefix is the ID prefix of the upstreams that this package manages; it does not touch
	// others.
	upstreamPrefix = "up-"
	// defaultSlots is the number of requests that an engine is assumed to run concurrently if it
	// does not report it.
	defaultSlots = 16
)

// publish updates the upstreams in the registry that differ from the ledgers. Updates that fail are
// retried at the next pass. It reports whether none differed.
func (r *Reconciler) publish(ctx context.Context, planned []*Ledger) (same bool) {
	same = true
	listed := make(map[ident.FailureDomain][]fleet.Upstream)
	for _, u := range r.options.Registry.Upstreams() {
		if isManaged(u) {
			listed[u.FailureDomain] = append(listed[u.FailureDomain], u)
		}
	}
	for _, l := range planned {
		wanted := r.ledgerUpstreams(ctx, l, listed[l.FailureDomain])
		if slices.EqualFunc(wanted, listed[l.FailureDomain], sameUpstream) {
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

// upstreamID returns the ID of the upstream on a host.
func upstreamID(host ident.Host) ident.Upstream {
	return ident.Upstream(upstreamPrefix + string(host))
}

// hostOfUpstream returns the host of an upstream that this package manages.
func hostOfUpstream(upstream ident.Upstream) (ident.Host, bool) {
	host, ok := strings.CutPrefix(string(upstream), upstreamPrefix)
	return ident.Host(host), ok
}

// sameUpstream reports whether two upstreams agree in the fields that a ledger decides.
func sameUpstream(a, b fleet.Upstream) bool {
	return a.ID == b.ID && a.URL == b.URL && a.State == b.State &&
		slices.Equal(a.Models, b.Models) && slices.Equal(a.Adapters, b.Adapters)
}

// ledgerUpstreams returns the upstreams on the hosts of a ledger, ordered by ID.
func (r *Reconciler) ledgerUpstreams(ctx context.Context, l *Ledger, listed []fleet.Upstream) []fleet.Upstream {
	var out []fleet.Upstream
	for _, i := range l.Intents {
		if i.Address == "" || i.Phase == PhaseStarting || i.Phase == PhaseLoading {
			continue
		}
		out = append(out, r.intentUpstream(ctx, i, listed))
	}
	slices.SortFunc(out, func(a, b fleet.Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}

func (r *Reconciler) intentUpstream(ctx context.Context, i Intent, listed []fleet.Upstream) fleet.Upstream {
	id := upstreamID(i.Host)
	state := fleet.StateReady
	if i.Phase != PhaseReady {
		state = fleet.StateLeaving
	}
	return fleet.Upstream{
		ID: id, URL: "http://" + i.Address, Host: i.Host, HostClass: i.Pool.HostClass,
		Region: r.options.RegionOf(i.Pool.FailureDomain), FailureDomain: i.Pool.FailureDomain,
		Models: []ident.Model{i.Model}, Adapters: i.Loaded, Slots: r.upstreamSlots(ctx, i, id, listed),
		PricePerHour: i.PricePerHour, Reclaimable: i.Pool.Market == cloud.MarketReclaimable,
		ChecksFencing: r.poolChecksFencing(i.Pool), State: state,
	}
}

func (r *Reconciler) poolChecksFencing(pool cloud.Pool) bool {
	site := r.options.Site.Current()
	return site != nil && checksFencing(site, pool)
}

// upstreamSlots returns how many requests an upstream runs concurrently: as listed, or as its
// engine reports.
func (r *Reconciler) upstreamSlots(ctx context.Context, i Intent, id ident.Upstream, listed []fleet.Upstream) int {
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
