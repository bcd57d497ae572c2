package capacity

import (
	"slices"
	"time"

	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/platform/cloud"
)

// quiet is what a round was made from that had nothing to do. A plan depends on the
// time only in what it changes, so the next round from the same has nothing to do either.
type quiet struct {
	site      *config.Site
	offers    []cloud.Offer
	upstreams []fleet.Upstream
	listedAt  time.Time
}

// noteQuiet notes that a round had nothing to do, unless something is under way.
func (r *Reconciler) noteQuiet(site *config.Site, offers []cloud.Offer) {
	if len(r.listing.unsettled) > 0 || len(r.refusals.resting()) > 0 || !r.allReady() {
		return
	}
	r.quiet = &quiet{site: site, offers: offers, upstreams: r.options.Registry.Upstreams(), listedAt: r.listing.at}
}

// stillQuiet reports whether nothing has changed since a round that had nothing to do.
func (r *Reconciler) stillQuiet(site *config.Site, offers []cloud.Offer) bool {
	q := r.quiet
	return q != nil && q.site == site && q.listedAt.Equal(r.listing.at) &&
		slices.Equal(q.offers, offers) && sameSnapshot(q.upstreams, r.options.Registry.Upstreams())
}

// allReady reports whether every intent is ready.
func (r *Reconciler) allReady() bool {
	for _, l := range r.ledgers {
		if slices.ContainsFunc(l.Intents, func(i Intent) bool { return i.Phase != PhaseReady }) {
			return false
		}
	}
	return true
}

// sameSnapshot reports whether two lists are the same one, not whether they say the same.
func sameSnapshot(a, b []fleet.Upstream) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
