package capacity

import (
	"context"
	"slices"
	"time"

	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/cloud"
)

const (
	// minListInterval is the shortest interval between periodic listings of the hosts.
	minListInterval = 30 * time.Second
	// listIntervalPerHost is how much each listed host adds to that interval, so that the bytes per
	// second do not grow with the number of hosts.
	listIntervalPerHost = 25 * time.Millisecond
)

// Marks reports the hosts and upstreams known to be leaving; *fleet.LeavingMarks implements it.
type Marks interface {
	// Changes returns the number of changes to the marks so far; it never decreases.
	Changes() uint64
	// Marks returns the marks in force.
	Marks() []fleet.Mark
}

// hostListing is the newest listing of the cloud's hosts, updated by later lookups of single hosts,
// with the marks that were known when it was read.
type hostListing struct {
	hosts []cloud.Host
	// readAt is when the listing was read; zero if none was.
	readAt time.Time
	// markChanges is the change count of the marks just before the listing, and markTimes when each
	// mark was made.
	markChanges uint64
	markTimes   map[fleet.Subject]time.Time
	// afterMark is set if the listing was prompted by a mark: the cloud may show the marked host's
	// state only later.
	afterMark bool
	// outcomeUnknown holds the tokens of the intents for which the cloud or an engine was called
	// since, with an outcome that the listing does not show.
	outcomeUnknown map[string]bool
	// recheckAt is when the hosts of marked intents are looked up again, by token.
	recheckAt map[string]time.Time
}

// recordMarks records the marks that were taken into account.
func (l *hostListing) recordMarks(query *cloudQuery) {
	l.markChanges = query.markChanges
	l.markTimes = make(map[fleet.Subject]time.Time, len(query.marks))
	for _, m := range query.marks {
		l.markTimes[m.Subject] = m.At
	}
}

// interval is how long the listing may be used if nothing else requires a new one.
func (l *hostListing) interval() time.Duration {
	if l.afterMark {
		return minListInterval
	}
	return max(minListInterval, time.Duration(len(l.hosts))*listIntervalPerHost)
}

// markChanges returns the change count of the marks.
func (r *Reconciler) markChanges() uint64 {
	if r.options.Marks == nil {
		return 0
	}
	return r.options.Marks.Changes()
}

// listHosts reads a new listing of all hosts and records the marks of the query with it.
func (r *Reconciler) listHosts(ctx context.Context, query *cloudQuery) error {
	hosts, err := r.options.Cloud.Hosts(ctx)
	if err != nil {
		return err
	}
	afterMark := query.markChanges != r.lastListing.markChanges
	r.lastListing = hostListing{
		hosts: hosts, readAt: r.options.Clock(), afterMark: afterMark,
		outcomeUnknown: make(map[string]bool), recheckAt: make(map[string]time.Time),
	}
	r.lastListing.recordMarks(query)
	return nil
}

// anyIntentAwaitsHostOrLoad reports whether any intent awaits its host, or an order to load
// something.
func (r *Reconciler) anyIntentAwaitsHostOrLoad(site *config.Site) bool {
	adapters := adaptersOf(site)
	for _, l := range r.ledgers {
		for k := range l.Intents {
			if l.Intents[k].awaitsHostOrLoad(adapters[l.Intents[k].Model]) {
				return true
			}
		}
	}
	return false
}

// adaptersOf returns the adapters declared for each model.
func adaptersOf(site *config.Site) map[ident.Model][]ident.Adapter {
	out := make(map[ident.Model][]ident.Adapter, len(site.Models))
	for _, model := range site.Models {
		out[model.Name] = model.Adapters
	}
	return out
}

// awaitsHostOrLoad reports whether the intent awaits its host, or an order to load its model or an
// adapter. A draining intent does not: its engine is asked whether its work is done, and its
// termination makes a new listing necessary.
func (i *Intent) awaitsHostOrLoad(adapters []ident.Adapter) bool {
	switch i.Phase {
	case PhaseStarting, PhaseLoading:
		return true
	case PhaseReady:
		return slices.ContainsFunc(adapters, func(a ident.Adapter) bool { return !slices.Contains(i.Loaded, a) })
	case PhaseLeaving:
		return i.Host == ""
	case PhaseMoving:
	}
	return false
}

// changesNothing reports whether a plan leaves all ledgers unchanged.
func (r *Reconciler) changesNothing(plan *PlanResult) bool {
	for _, l := range plan.Ledgers {
		known := r.ledgers[l.FailureDomain]
		if known == nil || !sameIntents(known, l) {
			return false
		}
	}
	return true
}
