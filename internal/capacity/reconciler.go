// Package capacity keeps the declared models running on the hosts that the site
// pays for. One node at a time reconciles, under a lease.
//
// Invariants: an intent stands in its failure domain's ledger, in the object API,
// before the cloud is asked for its host, and the cloud is always asked under the
// intent's token; so whoever holds the lease next goes on with the same hosts,
// starts none twice and forgets none. A host without an intent is written down
// as leaving before it is ended. Nothing is ordered without a check of the lease.
// What may have changed is learnt before the next plan: of a few hosts at a large site by
// asking for each, otherwise by listing all, which is done at long intervals besides. A
// plan that changes a ledger is made by a list that was read for it, or changes no more than
// what was learnt of the hosts that were asked for and replaces no more than they lost.
// A host is asked for just before it is let load something.
//
// Lock order: the package has no locks; one goroutine passes, and its helpers
// each change one intent. Only NoteListed and Rollouts may be called beside it.
package capacity

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/explain"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/lease"
	"mangoledge.example/mangoledge/internal/platform/cloud"
	"mangoledge.example/mangoledge/internal/platform/objects"
	"mangoledge.example/mangoledge/internal/platform/weights"
)

const (
	// LeaseName is the duty of reconciling.
	LeaseName = "capacity"
	// TokenPrefix begins the client tokens of the hosts that this package starts.
	TokenPrefix = "mangoledge-capacity-"
	// StoreCallsPerSecond is the budget of store calls of the one node that reconciles,
	// beside the one that every node has.
	StoreCallsPerSecond = 40
	// StoreBurst is how many of these calls it may save up.
	StoreBurst = 120
	// passInterval is the time between two passes.
	passInterval = 2 * time.Second
	// maxRounds is how often a pass plans anew after refused starts.
	maxRounds = 8
	// minDrain is how long a leaving upstream stays at least, so that every node has heard of it.
	minDrain = 10 * time.Second
	// maxDrain is how long a leaving upstream may go on with what it has.
	maxDrain = 10 * time.Minute
	// maxParallelCalls is how many calls a pass has in progress at once.
	maxParallelCalls = 16
)

// Holder checks the lease; *lease.Lease is one.
type Holder interface {
	Check() (lease.Fence, error)
	CheckUnfenced() (lease.Fence, error)
}

// Publisher takes the upstreams of a failure domain; *fleet.Registry is one.
type Publisher interface {
	fleet.View
	Set(ctx context.Context, domain ident.FailureDomain, edit func([]fleet.Upstream) []fleet.Upstream) error
}

// Options configure a Reconciler.
type Options struct {
	Store    objects.Store
	Lease    Holder
	Cloud    cloud.API
	Weights  weights.API
	Engines  Engines
	Registry Publisher
	Site     config.View
	// Marks tell when something was learnt to be leaving, upon which the hosts are
	// listed at once; when nil that is found at the interval.
	Marks Marks
	// RegionOf returns the region of a failure domain.
	RegionOf func(ident.FailureDomain) ident.Region
	// NewToken makes a text that was never used before, for a client token.
	NewToken func() string
	// Clock is time.Now when nil.
	Clock func() time.Time
	// Logger is slog.Default() when nil.
	Logger *slog.Logger
	// Journal notes what is decided about hosts; nothing is noted when nil.
	Journal *explain.Journal
}

// Reconciler keeps the declared models running while this node holds the lease.
type Reconciler struct {
	options  Options
	refusals *refusals
	// ledgers are the newest seen, by failure domain.
	ledgers map[ident.FailureDomain]*Ledger
	// rollouts are those of the last plan, for Rollouts.
	rollouts atomic.Pointer[[]Rollout]
	// known is true while ledgers are all there are, as far as this holder's writes
	// tell: it alone writes, and a write that shows otherwise ends that.
	known bool
	// fence is the fencing number that known holds under.
	fence lease.Fence
	// listing is the newest list of hosts.
	listing listing
	// askFrom is minHostsToAsk but in tests.
	askFrom int
	// seen is the newest host list; lookedAt is the one whose missing hosts were looked for.
	seen     atomic.Pointer[seenHosts]
	lookedAt *seenHosts
	// lookedFor are the hosts that were looked for since a host list last showed them.
	lookedFor map[ident.Host]bool
	// quiet is what the last round was made from, if it had nothing to do.
	quiet *quiet
	// waiting are the models whose roll-out was told to wait last.
	waiting map[ident.Model]bool
	// unordered are the models whose role was told not to be ordered last.
	unordered []ident.Model
}

// New returns a reconciler.
func New(options Options) *Reconciler {
	if options.Clock == nil {
		options.Clock = time.Now
	}
	if options.Logger == nil {
		options.Logger = slog.Default()
	}
	return &Reconciler{
		options:   options,
		refusals:  newRefusals(options.Clock),
		ledgers:   make(map[ident.FailureDomain]*Ledger),
		waiting:   make(map[ident.Model]bool),
		askFrom:   minHostsToAsk,
		lookedFor: make(map[ident.Host]bool),
	}
}

// Rollouts returns the models whose replicas do not all have their version, as this
// node planned last; none when it does not hold the lease.
func (r *Reconciler) Rollouts() []Rollout {
	if _, err := r.options.Lease.Check(); err != nil {
		return nil
	}
	if last := r.rollouts.Load(); last != nil {
		return *last
	}
	return nil
}

// Run passes at an interval until ctx ends, doing nothing while the lease is not held.
func (r *Reconciler) Run(ctx context.Context) {
	ticker := time.NewTicker(passInterval)
	defer ticker.Stop()
	for {
		if _, err := r.options.Lease.Check(); err == nil {
			if err := r.Pass(ctx); err != nil && ctx.Err() == nil {
				r.options.Logger.Warn("capacity pass ended early", "error", err)
			}
		} else {
			r.listing = listing{} // large, and nothing to go by later
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Pass looks, plans, writes the plan down and carries it out as far as it goes now.
// While starts are refused it plans anew at once, without the pools that refused.
// An error ends the pass early; the next one goes on from what is written down.
func (r *Reconciler) Pass(ctx context.Context) error {
	for range maxRounds {
		refused, err := r.round(ctx)
		if err != nil || !refused {
			return err
		}
	}
	return nil
}

// round is one round of a pass; refused reports whether a start was refused.
func (r *Reconciler) round(ctx context.Context) (refused bool, err error) {
	site := r.options.Site.Current()
	if site == nil {
		return false, nil
	}
	fence, err := r.options.Lease.Check()
	if err != nil {
		return false, err
	}
	if fence != r.fence {
		r.fence, r.known = fence, false // another node may have written since
	}
	offers, err := r.options.Cloud.Offers(ctx)
	if err != nil {
		return false, err
	}
	what := r.concerns(site)
	if what.none() && r.stillQuiet(site, offers) {
		return false, nil
	}
	r.quiet = nil
	plan, err := r.plan(ctx, site, offers, &what)
	if err != nil {
		return false, err
	}
	return r.carryOut(ctx, site, offers, &plan)
}

// carryOut writes a plan down and does what is due.
func (r *Reconciler) carryOut(ctx context.Context, site *config.Site, offers []cloud.Offer, plan *Planned) (refused bool, err error) {
	planned := plan.Ledgers
	idle := r.changesNothing(plan)
	if err := r.save(ctx, planned); err != nil {
		return false, err
	}
	r.notePlan(plan)
	idle = r.publish(ctx, planned) && idle
	refused = r.act(ctx, site, planned)
	idle = idle && r.changesNothing(plan)
	if err := r.save(ctx, planned); err != nil {
		return refused, err
	}
	idle = r.publish(ctx, planned) && idle
	if idle {
		r.noteQuiet(site, offers)
	}
	return refused, nil
}

// plan plans by what was learnt of the cloud just now. What goes beyond it is planned
// anew by a list that is read now. The hosts are read before the ledgers, so that a host
// without an intent has lost it and is not about to get it.
func (r *Reconciler) plan(ctx context.Context, site *config.Site, offers []cloud.Offer, what *concern) (Planned, error) {
	listed, err := r.learn(ctx, what)
	if err != nil {
		return Planned{}, err
	}
	plan, err := r.planWith(ctx, site, offers)
	if err != nil || listed || r.changesNothing(&plan) || r.follows(&plan, what.intents) {
		return plan, err
	}
	if err := r.listHosts(ctx, what); err != nil {
		return Planned{}, err
	}
	return r.planWith(ctx, site, offers)
}

// planWith plans by the newest list of hosts.
func (r *Reconciler) planWith(ctx context.Context, site *config.Site, offers []cloud.Offer) (Planned, error) {
	ledgers, err := r.read(ctx)
	if err != nil {
		return Planned{}, err
	}
	return Plan(Inputs{
		Site: site, Offers: offers, Hosts: r.listing.hosts, Ledgers: ledgers,
		Resting: r.refusals.resting(), Now: r.options.Clock(), Fence: r.fence,
		NewToken: func() string { return TokenPrefix + r.options.NewToken() },
	}), nil
}

// read returns the ledgers, read from the store when they may have been changed.
func (r *Reconciler) read(ctx context.Context) ([]*Ledger, error) {
	if !r.known {
		if err := r.list(ctx); err != nil {
			return nil, err
		}
		r.known = true
	}
	out := make([]*Ledger, 0, len(r.ledgers))
	for _, l := range r.ledgers {
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b *Ledger) int {
		if a.FailureDomain < b.FailureDomain {
			return -1
		}
		return 1
	})
	return out, nil
}

// list reads the ledgers from the store; one that is older than seen before is not taken.
func (r *Reconciler) list(ctx context.Context) error {
	list, err := r.options.Store.List(ctx, LedgerKind)
	if err != nil {
		return err
	}
	for _, object := range list.Items {
		l, err := decodeLedger(object)
		if err != nil {
			return err
		}
		if known, ok := r.ledgers[l.FailureDomain]; !ok || known.version < l.version {
			r.ledgers[l.FailureDomain] = l
		}
	}
	return nil
}

// save writes down the ledgers that have changed.
func (r *Reconciler) save(ctx context.Context, planned []*Ledger) error {
	for _, l := range planned {
		if err := r.saveOne(ctx, l); err != nil {
			r.known = false
			return err
		}
	}
	return nil
}

func (r *Reconciler) saveOne(ctx context.Context, l *Ledger) error {
	if known := r.ledgers[l.FailureDomain]; known != nil && sameIntents(known, l) {
		return nil
	}
	object, err := l.encode()
	if err != nil {
		return err
	}
	var stored objects.Object
	if l.version == 0 {
		stored, err = r.options.Store.Create(ctx, object)
	} else {
		stored, err = r.options.Store.Update(ctx, object)
	}
	if err != nil {
		if current, ok := objects.CurrentOf(err); ok {
			r.adopt(current)
		}
		return err
	}
	l.version = stored.Metadata.ResourceVersion
	r.adopt(stored)
	return nil
}

// adopt remembers a ledger that the store told of.
func (r *Reconciler) adopt(object objects.Object) {
	if l, err := decodeLedger(object); err == nil {
		r.ledgers[l.FailureDomain] = l
	}
}
