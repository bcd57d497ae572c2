package capacity

import (
	"slices"
	"time"

	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/platform/cloud"
)

// idleInputs is what a round that had nothing to do was computed from. A plan depends on the time
// only where it changes something, so a round with the same inputs has nothing to do either.
type idleInputs struct {
	site        *config.Site
	offers      []cloud.Offer
	upstreams   []fleet.Upstream
	hostsReadAt time.Time
}

// recordIdleRound records the inputs of a round that had nothing to do, unless calls or drains are
// still in progress or pools are backed off.
func (r *Reconciler) recordIdleRound(site *config.Site, offers []cloud.Offer) {
	if len(r.lastListing.outcomeUnknown) > 0 || len(r.backoffs.backedOffPools()) > 0 || !r.allIntentsReady() {
		return
	}
	r.lastIdle = &idleInputs{site: site, offers: offers, upstreams: r.options.Registry.Upstreams(), hostsReadAt: r.lastListing.readAt}
}

// inputsUnchangedSinceIdle reports whether the last round had nothing to do and its inputs are
// unchanged.
func (r *Reconciler) inputsUnchangedSinceIdle(site *config.Site, offers []cloud.Offer) bool {
	last := r.lastIdle
	return last != nil && last.site == site && last.hostsReadAt.Equal(r.lastListing.readAt) &&
		slices.Equal(last.offers, offers) && sameSlice(last.upstreams, r.options.Registry.Upstreams())
}

// allIntentsReady reports whether every intent is ready.
func (r *Reconciler) allIntentsReady() bool {
	for _, l := range r.ledgers {
		if slices.ContainsFunc(l.Intents, func(i Intent) bool { return i.Phase != PhaseReady }) {
			return false
		}
	}
	return true
}

// sameSlice reports whether two lists share their memory; it does not compare their contents.
func sameSlice(a, b []fleet.Upstream) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
