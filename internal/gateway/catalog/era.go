package catalog

import (
	"time"

	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/platform/objects"
)

// removalRetention is how long a removed upstream is remembered: a store that comes back from a copy
// some seconds old shows its entry until the removal is repeated.
const removalRetention = time.Minute

// removedHoldTime is how long such an entry is not used: a replica that is gone is silent for three
// heartbeats of about 1.2 s by then, and its entry lapses.
const removedHoldTime = 5 * time.Second

// removal is what is known of an upstream that was removed.
type removal struct {
	upstream site.Upstream
	// era is the store's era in which the upstream was removed.
	era uint64
	at  time.Time
	// reportedAfter and drainingAfter are those of its entry.
	reportedAfter, drainingAfter time.Time
}

// updateEra treats a store in a later era like one that returns after an outage: entries that are
// missing may only not be written again yet. u.mu must be held.
func (u *Upstreams) updateEra(version objects.Version) {
	if u.storeVersion != 0 && version.Era() > u.storeVersion.Era() {
		u.storeReturnedAt = u.now()
		u.eraChangedAt = u.storeReturnedAt
	}
}

// keepsUnlisted reports whether an entry that is missing in a full list is kept for a short time:
// upstreams write their entries again after a change of era. u.mu must be held.
func (u *Upstreams) keepsUnlisted(name string) bool {
	e := u.entries[name]
	if !e.usable || e.upstream.Draining || u.eraChangedAt.IsZero() || u.now().Sub(u.eraChangedAt) >= reregistrationGrace {
		return false
	}
	if e.missingSince.IsZero() {
		e.missingSince = u.now()
		u.logger.Info("upstream entry lost by the store", "upstream", name)
	}
	return true
}

// recordRemoval remembers an upstream that is being removed. u.mu must be held.
func (u *Upstreams) recordRemoval(name string) {
	if e := u.entries[name]; e != nil && e.usable {
		u.removed[name] = removal{
			upstream: e.upstream, era: max(u.storeVersion.Era(), e.object.Metadata.ResourceVersion.Era()), at: u.now(),
			reportedAfter: e.reportedAfter, drainingAfter: e.drainingAfter,
		}
	}
}

// isRemoved reports whether an entry is of an upstream that was removed in an earlier era, and tells
// nothing that the upstream reported after that. u.mu must be held.
func (u *Upstreams) isRemoved(e *entry) bool {
	r, found := u.removed[e.upstream.ID]
	return found && e.usable && e.object.Metadata.ResourceVersion.Era() > r.era && !isNewer(e.upstream, r.upstream)
}

// releaseHeld allows entries to be used that were held back and have not been removed again, and
// reports whether there was any. u.mu must be held.
func (u *Upstreams) releaseHeld() bool {
	released := false
	for name, e := range u.entries {
		if !e.heldUntil.IsZero() && !u.now().Before(e.heldUntil) {
			u.logger.Info("held entry is used", "upstream", name)
			e.heldUntil, e.usable, released = time.Time{}, true, true
			u.recordChange(name)
		}
	}
	return released
}

// forgetRemovals drops removals after their retention. u.mu must be held.
func (u *Upstreams) forgetRemovals() {
	for name, r := range u.removed {
		if u.now().Sub(r.at) > removalRetention {
			delete(u.removed, name)
		}
	}
}

// keepNewer keeps what is known of an upstream if the entry, read in a later era, is an older state of it.
func (e *entry) keepNewer(known *entry) {
	if e.object.Metadata.ResourceVersion.Era() == known.object.Metadata.ResourceVersion.Era() || !known.usable || !e.usable {
		return
	}
	if isNewer(known.upstream, e.upstream) || (!isNewer(e.upstream, known.upstream) && known.upstream.Draining) {
		e.upstream, e.object.Spec = known.upstream, known.object.Spec
	}
}

// isNewer reports whether a was reported after b by the same upstream, or a later incarnation of it.
func isNewer(a, b site.Upstream) bool {
	if !a.StartedAt.Equal(b.StartedAt) {
		return a.StartedAt.After(b.StartedAt)
	}
	return a.Reports > b.Reports
}
