package capacity

import (
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/hostlist"
)

// seenHosts are the hosts that the platform's host list showed once.
type seenHosts map[ident.Host]struct{}

// NoteListed takes in the platform's host list, whenever this node reads it. A host of an
// intent that is not on it is looked for at the next pass. It may be called at any time.
func (r *Reconciler) NoteListed(list hostlist.List) {
	if _, err := r.options.Lease.Check(); err != nil {
		return
	}
	seen := make(seenHosts, len(list.Hosts))
	for _, h := range list.Hosts {
		seen[h.Host] = struct{}{}
	}
	r.seen.Store(&seen)
}

// missingHosts returns the hosts of intents that the newest host list does not show, and
// that were not looked for since one last showed them: the list lags and may be wrong.
func (r *Reconciler) missingHosts(seen *seenHosts) map[ident.Host]bool {
	if seen == nil || seen == r.lookedAt {
		return nil
	}
	for host := range r.lookedFor {
		if _, shown := (*seen)[host]; shown {
			delete(r.lookedFor, host)
		}
	}
	out := make(map[ident.Host]bool)
	for _, l := range r.ledgers {
		for k := range l.Intents {
			host := l.Intents[k].Host
			if _, shown := (*seen)[host]; host != "" && !shown && !r.lookedFor[host] {
				out[host] = true
			}
		}
	}
	if len(out) == 0 {
		r.lookedAt = seen
	}
	return out
}

// noteLookedFor notes that the hosts that a host list did not show were looked for.
func (r *Reconciler) noteLookedFor(what *concern) {
	r.lookedAt = what.seen
	for host := range what.missing {
		r.lookedFor[host] = true
	}
}
