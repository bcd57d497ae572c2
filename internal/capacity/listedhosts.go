package capacity

import (
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/hostlist"
)

// listedHosts are the hosts on one version of the platform's host list.
type listedHosts map[ident.Host]struct{}

// RecordHostList records the platform's host list each time this node has read it. The hosts of
// intents that are not on it are looked up at the next pass. It may be called concurrently.
func (r *Reconciler) RecordHostList(list hostlist.List) {
	if _, err := r.options.Lease.Check(); err != nil {
		return
	}
	listed := make(listedHosts, len(list.Hosts))
	for _, h := range list.Hosts {
		listed[h.Host] = struct{}{}
	}
	r.hostList.Store(&listed)
}

// missingHosts returns the hosts of intents that are missing from the newest host list and were not
// looked up since a list last showed them: the list lags behind and may be wrong.
func (r *Reconciler) missingHosts(listed *listedHosts) map[ident.Host]bool {
	if listed == nil || listed == r.checkedHostList {
		return nil
	}
	for host := range r.lookedUp {
		if _, shown := (*listed)[host]; shown {
			delete(r.lookedUp, host)
		}
	}
	out := make(map[ident.Host]bool)
	for _, l := range r.ledgers {
		for k := range l.Intents {
			host := l.Intents[k].Host
			if _, shown := (*listed)[host]; host != "" && !shown && !r.lookedUp[host] {
				out[host] = true
			}
		}
	}
	if len(out) == 0 {
		r.checkedHostList = listed
	}
	return out
}

// recordLookups records that the hosts missing from a host list were looked up.
func (r *Reconciler) recordLookups(query *cloudQuery) {
	r.checkedHostList = query.hostList
	for host := range query.missing {
		r.lookedUp[host] = true
	}
}
