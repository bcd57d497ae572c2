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
	// minListInterval is the least time between two lists of hosts that nothing asked for.
	minListInterval = 30 * time.Second
	// listIntervalPerHost is how much longer that time gets with each listed host, so
	// that the bytes a second stay the same however many there are.
	listIntervalPerHost = 25 * time.Millisecond
)

// Marks tells what is known to be leaving; *fleet.Leaving is one.
type Marks interface {
	// Changes counts the changes of Marks; it only grows.
	Changes() uint64
	// Marks returns the marks in force.
	Marks() []fleet.Mark
}

// listing is the newest list of hosts, with what was known when it was asked for, and
// what was learnt of single hosts since.
type listing struct {
	hosts []cloud.Host
	// at is when it was read, the zero time when there is none.
	at time.Time
	// marks is what Marks counted just before, and seen when each was made.
	marks uint64
	seen  map[fleet.Subject]time.Time
	// afterMark is true when a mark led to it: the platform may show that one later.
	afterMark bool
	// unsettled are the tokens of the intents for which the cloud or an engine was asked
	// for something since whose outcome the list does not show.
	unsettled map[string]bool
	// again is when the hosts of marked intents are asked for once more, by token.
	again map[string]time.Time
}

// noteMarks notes the marks that were looked at.
func (l *listing) noteMarks(what *concern) {
	l.marks = what.changes
	l.seen = make(map[fleet.Subject]time.Time, len(what.marks))
	for _, m := range what.marks {
		l.seen[m.Subject] = m.At
	}
}

// interval is how long the list is good for when nothing happens.
func (l *listing) interval() time.Duration {
	if l.afterMark {
		return minListInterval
	}
	return max(minListInterval, time.Duration(len(l.hosts))*listIntervalPerHost)
}

// marks counts the changes of what is known to be leaving.
func (r *Reconciler) marks() uint64 {
	if r.options.Marks == nil {
		return 0
	}
	return r.options.Marks.Changes()
}

// listHosts lists the hosts anew, after what was looked at.
func (r *Reconciler) listHosts(ctx context.Context, what *concern) error {
	hosts, err := r.options.Cloud.Hosts(ctx)
	if err != nil {
		return err
	}
	afterMark := what.changes != r.listing.marks
	r.listing = listing{
		hosts: hosts, at: r.options.Clock(), afterMark: afterMark,
		unsettled: make(map[string]bool), again: make(map[string]time.Time),
	}
	r.listing.noteMarks(what)
	return nil
}

// anyWaits reports whether an intent waits for its host, or for an order to its engine.
func (r *Reconciler) anyWaits(site *config.Site) bool {
	adapters := adaptersOf(site)
	for _, l := range r.ledgers {
		for k := range l.Intents {
			if l.Intents[k].waits(adapters[l.Intents[k].Model]) {
				return true
			}
		}
	}
	return false
}

// adaptersOf returns the adapters that are declared for each model.
func adaptersOf(site *config.Site) map[ident.Model][]ident.Adapter {
	out := make(map[ident.Model][]ident.Adapter, len(site.Models))
	for _, model := range site.Models {
		out[model.Name] = model.Adapters
	}
	return out
}

// waits reports whether the intent waits for its host, or for an order to load its
// model or an adapter. One that drains does not: whether its work is done is asked of
// its engine, and its end outdates the list.
func (i *Intent) waits(adapters []ident.Adapter) bool {
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

// changesNothing reports whether a plan leaves the ledgers as they are.
func (r *Reconciler) changesNothing(plan *Planned) bool {
	for _, l := range plan.Ledgers {
		known := r.ledgers[l.FailureDomain]
		if known == nil || !sameIntents(known, l) {
			return false
		}
	}
	return true
}
