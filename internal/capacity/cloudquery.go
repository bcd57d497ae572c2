package capacity

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/cloud"
)

const (
	// minHostsForLookups is the number of listed hosts from which a few hosts are looked up one by
	// one instead of listing all.
	minHostsForLookups = 200
	// maxHostLookups is the most hosts that are looked up one by one before a plan; if there are
	// more, all hosts are listed.
	maxHostLookups = 8
	// markRecheckDelay is the time after which a marked host is looked up a second time.
	markRecheckDelay = 30 * time.Second
)

var errHostMismatch = errors.New("the cloud returned a different host for the token of a known one")

// cloudQuery is what must be read from the cloud before the next plan.
type cloudQuery struct {
	// listAll is set if all hosts must be listed; otherwise the hosts of intents are looked up.
	listAll bool
	intents []Intent
	// marks are the marks that were read, and markChanges the change count before they were read.
	marks       []fleet.Mark
	markChanges uint64
	// hostList is the newest host list of the platform, and missing the hosts of intents that are
	// not on it.
	hostList *listedHosts
	missing  map[ident.Host]bool
}

// empty reports whether nothing must be read.
func (c *cloudQuery) empty() bool { return !c.listAll && len(c.intents) == 0 }

// pendingCloudQuery returns what must be read from the cloud before the next plan.
func (r *Reconciler) pendingCloudQuery(site *config.Site) cloudQuery {
	last := &r.lastListing
	out := cloudQuery{markChanges: r.markChanges(), hostList: r.hostList.Load()}
	if r.options.Marks != nil {
		out.marks = r.options.Marks.Marks()
	}
	if !r.ledgersCurrent || last.readAt.IsZero() || r.options.Clock().Sub(last.readAt) >= last.interval() {
		out.listAll = true
		return out
	}
	out.missing = r.missingHosts(out.hostList)
	if len(last.hosts) < r.lookupMinHosts {
		out.listAll = len(last.outcomeUnknown) > 0 || len(out.missing) > 0 || last.markChanges != out.markChanges || r.anyIntentAwaitsHostOrLoad(site)
		return out
	}
	r.collectLookups(site, &out)
	return out
}

// collectLookups adds the intents whose hosts must be looked up.
func (r *Reconciler) collectLookups(site *config.Site, out *cloudQuery) {
	marked := r.newlyMarkedHosts(out)
	adapters := adaptersOf(site)
	now := r.options.Clock()
	for _, l := range r.ledgers {
		for k := range l.Intents {
			i := &l.Intents[k]
			recheckTime, scheduled := r.lastListing.recheckAt[i.Token]
			waits := i.awaitsHostOrLoad(adapters[i.Model]) && i.Phase != PhaseStarting // its start is repeated anyway
			if !waits && !r.lastListing.outcomeUnknown[i.Token] && !marked[i.Host] && !out.missing[i.Host] && (!scheduled || now.Before(recheckTime)) {
				continue
			}
			out.listAll = out.listAll || i.Host == ""
			out.intents = append(out.intents, *i)
		}
	}
	out.listAll = out.listAll || len(out.intents) > maxHostLookups
}

// newlyMarkedHosts returns the hosts whose marks were made after the last listing or lookup.
func (r *Reconciler) newlyMarkedHosts(out *cloudQuery) map[ident.Host]bool {
	if out.markChanges == r.lastListing.markChanges {
		return nil
	}
	hosts := make(map[ident.Host]bool)
	for _, m := range out.marks {
		if !m.At.After(r.lastListing.markTimes[m.Subject]) {
			continue
		}
		hosts[m.Subject.Host] = m.Subject.Host != ""
		if host, ok := hostOfUpstream(m.Subject.Upstream); ok {
			hosts[host] = true
		}
	}
	return hosts
}

// refreshHosts runs a query and updates the host listing. It reports whether all hosts were listed.
func (r *Reconciler) refreshHosts(ctx context.Context, query *cloudQuery) (listed bool, err error) {
	if listed, err = r.listOrLookUpHosts(ctx, query); err == nil {
		r.recordLookups(query)
	}
	return listed, err
}

// listOrLookUpHosts is refreshHosts without recording which hosts missing from the host list were
// looked up.
func (r *Reconciler) listOrLookUpHosts(ctx context.Context, query *cloudQuery) (listed bool, err error) {
	if query.listAll {
		return true, r.listHosts(ctx, query)
	}
	marked := r.newlyMarkedHosts(query)
	for k := range query.intents {
		if err := r.lookUpHost(ctx, &query.intents[k]); err != nil {
			r.options.Logger.Info("host lookup failed; listing all hosts", "host", query.intents[k].Host, "error", err)
			return true, r.listHosts(ctx, query)
		}
	}
	for k := range query.intents {
		i := &query.intents[k]
		delete(r.lastListing.outcomeUnknown, i.Token)
		delete(r.lastListing.recheckAt, i.Token)
		if marked[i.Host] {
			r.lastListing.recheckAt[i.Token] = r.options.Clock().Add(markRecheckDelay)
		}
	}
	r.lastListing.recordMarks(query)
	return false, nil
}

// lookUpHost updates the listing with the cloud's state of an intent's host. It repeats the call
// that started the host, which returns the host's present state.
func (r *Reconciler) lookUpHost(ctx context.Context, i *Intent) error {
	if _, err := r.options.Lease.Check(); err != nil {
		return err
	}
	host, err := r.options.Cloud.Start(ctx, cloud.Start{ClientToken: i.Token, Pool: i.Pool})
	if err != nil {
		return err
	}
	if host.ID != i.Host {
		return errHostMismatch
	}
	at := slices.IndexFunc(r.lastListing.hosts, func(h cloud.Host) bool { return h.ClientToken == i.Token })
	if at < 0 {
		r.lastListing.hosts = append(r.lastListing.hosts, host)
		return nil
	}
	r.lastListing.hosts[at] = host
	return nil
}

// onlyReplacesLost reports whether a plan changes no intents but those whose hosts were looked up,
// and adds no more intents than were lost among them.
func (r *Reconciler) onlyReplacesLost(plan *PlanResult, lookedUp []Intent) bool {
	wasLookedUp := make(map[string]bool, len(lookedUp))
	for k := range lookedUp {
		wasLookedUp[lookedUp[k].Token] = true
	}
	lost, added := 0, 0
	for _, l := range plan.Ledgers {
		known := r.ledgers[l.FailureDomain]
		if known == nil {
			return false
		}
		change := diffLedgers(known, l)
		for _, token := range change.changedTokens {
			if !wasLookedUp[token] {
				return false
			}
		}
		lost += change.lost
		added += change.added
	}
	return added <= lost
}
