// Package capacity keeps the declared models running on the hosts that the site pays for. One node
// at a time reconciles, under a lease.
//
// Invariants: an intent is saved in its failure domain's ledger, in the object API, before the
// cloud is asked for its host, and the cloud is always called with the intent's token; so the next
// holder of the lease continues with the same hosts, starts none twice and forgets none. A host
// without an intent is recorded as leaving before it is terminated. No order is sent without a
// check of the lease. What may have changed is read from the cloud before the next plan: if it
// concerns a few hosts of a large site, by looking up each of them, otherwise by listing all, which
// is also done periodically at long intervals. A plan that changes a ledger either uses a listing
// read for that plan, or changes only the intents whose hosts were looked up and adds no more than
// were lost among them. A host is looked up just before it is ordered to load something.
//
// Lock order: the package has no locks; one goroutine runs the passes, and the goroutines it starts
// each modify one intent. Only RecordHostList and Rollouts may be called concurrently with it.
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
	// LeaseName is the name of the lease under which one node at a time reconciles.
	LeaseName = "capacity"
	// TokenPrefix is the prefix of the client tokens of the hosts that this package starts.
	TokenPrefix = "mangoledge-capacity-"
	// StoreCallsPerSecond is the rate of store calls allowed to the one node that reconciles, in
	// addition to the budget that every node has.
	StoreCallsPerSecond = 40
	// StoreBurst is how many of these calls may be made in a burst.
	StoreBurst = 120
	// passInterval is the time between two passes.
	passInterval = 2 * time.Second
	// maxRounds is how many rounds a pass has at most; each but the first follows refused starts.
	maxRounds = 8
	// minDrain is the shortest time for which a leaving upstream is kept, so that every node learns
	// that it is leaving.
	minDrain = 10 * time.Second
	// maxDrain is the longest time for which a leaving upstream may continue its work.
	maxDrain = 10 * time.Minute
	// maxParallelCalls is how many intents of a ledger a pass executes concurrently.
	maxParallelCalls = 16
)

// LeaseChecker checks the lease; *lease.Lease implements it.
type LeaseChecker interface {
	Check() (lease.Fence, error)
	CheckUnfenced() (lease.Fence, error)
}

// UpstreamRegistry stores the upstreams of a failure domain; *fleet.Registry implements it.
type UpstreamRegistry interface {
	fleet.View
	Set(ctx context.Context, domain ident.FailureDomain, edit func([]fleet.Upstream) []fleet.Upstream) error
}

// Options configure a Reconciler.
type Options struct {
	Store    objects.Store
	Lease    LeaseChecker
	Cloud    cloud.API
	Weights  weights.API
	Engines  EngineClient
	Registry UpstreamRegistry
	Site     config.View
	// Marks reports what is leaving; a new mark prompts the reconciler to list or look up hosts at
	// once. With nil, leaving hosts are noticed at the next periodic listing.
	Marks Marks
	// RegionOf returns the region of a failure domain.
	RegionOf func(ident.FailureDomain) ident.Region
	// NewToken returns a string that was never used before, for a client token.
	NewToken func() string
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time
	// Logger defaults to slog.Default().
	Logger *slog.Logger
	// Journal records the decisions about hosts; with nil, none are recorded.
	Journal *explain.Journal
}

// Reconciler keeps the declared models running while this node holds the lease.
type Reconciler struct {
	options  Options
	backoffs *startBackoffs
	// ledgers are the newest ledgers seen, by failure domain.
	ledgers map[ident.FailureDomain]*Ledger
	// rollouts are those of the last plan, for Rollouts.
	rollouts atomic.Pointer[[]Rollout]
	// ledgersCurrent is set while ledgers equal the store's, as far as this holder knows: it is the
	// only writer, and a failed write resets the flag.
	ledgersCurrent bool
	// fence is the fencing number under which ledgersCurrent was set.
	fence lease.Fence
	// lastListing is the newest listing of the cloud's hosts.
	lastListing hostListing
	// lookupMinHosts is minHostsForLookups, except in tests.
	lookupMinHosts int
	// hostList is the platform's newest host list; checkedHostList is the newest one whose missing
	// hosts have all been looked up.
	hostList        atomic.Pointer[listedHosts]
	checkedHostList *listedHosts
	// lookedUp are the hosts that were looked up since a host list last showed them.
	lookedUp map[ident.Host]bool
	// lastIdle holds the inputs of the last round if it had nothing to do.
	lastIdle *idleInputs
	// blockedRollouts are the models whose roll-out waited for a spare host at the last plan.
	blockedRollouts map[ident.Model]bool
	// rolesNotOrdered are the models whose role some engines were not ordered to take at the last
	// plan.
	rolesNotOrdered []ident.Model
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
		options:         options,
		backoffs:        newStartBackoffs(options.Clock),
		ledgers:         make(map[ident.FailureDomain]*Ledger),
		blockedRollouts: make(map[ident.Model]bool),
		lookupMinHosts:  minHostsForLookups,
		lookedUp:        make(map[ident.Host]bool),
	}
}

// Rollouts returns the models with replicas that do not have the declared version, as of this
// node's last plan; none if this node does not hold the lease.
func (r *Reconciler) Rollouts() []Rollout {
	if _, err := r.options.Lease.Check(); err != nil {
		return nil
	}
	if last := r.rollouts.Load(); last != nil {
		return *last
	}
	return nil
}

// Run runs passes periodically until ctx ends; it does nothing while this node does not hold the
// lease.
func (r *Reconciler) Run(ctx context.Context) {
	ticker := time.NewTicker(passInterval)
	defer ticker.Stop()
	for {
		if _, err := r.options.Lease.Check(); err == nil {
			if err := r.Pass(ctx); err != nil && ctx.Err() == nil {
				r.options.Logger.Warn("capacity pass ended early", "error", err)
			}
		} else {
			r.lastListing = hostListing{} // large, and outdated by the time this node holds the lease again
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Pass reads the state of the hosts, computes a plan, saves it and executes it as far as possible
// now. If starts are refused, it plans again at once, without the pools that refused. An error ends
// the pass early; the next one continues from what was saved.
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
		r.fence, r.ledgersCurrent = fence, false // another node may have written ledgers since
	}
	offers, err := r.options.Cloud.Offers(ctx)
	if err != nil {
		return false, err
	}
	query := r.pendingCloudQuery(site)
	if query.empty() && r.inputsUnchangedSinceIdle(site, offers) {
		return false, nil
	}
	r.lastIdle = nil
	plan, err := r.makePlan(ctx, site, offers, &query)
	if err != nil {
		return false, err
	}
	return r.executePlan(ctx, site, offers, &plan)
}

// executePlan saves a plan, publishes its upstreams and performs the next step of each intent.
func (r *Reconciler) executePlan(ctx context.Context, site *config.Site, offers []cloud.Offer, plan *PlanResult) (refused bool, err error) {
	planned := plan.Ledgers
	idle := r.changesNothing(plan)
	if err := r.saveLedgers(ctx, planned); err != nil {
		return false, err
	}
	r.journalPlan(plan)
	idle = r.publish(ctx, planned) && idle
	refused = r.executeIntents(ctx, site, planned)
	idle = idle && r.changesNothing(plan)
	if err := r.saveLedgers(ctx, planned); err != nil {
		return refused, err
	}
	idle = r.publish(ctx, planned) && idle
	if idle {
		r.recordIdleRound(site, offers)
	}
	return refused, nil
}

// makePlan computes a plan from what the cloud was just asked. If the plan changes more than that
// covers, it is computed again from a new listing. The hosts are read before the ledgers, so that a
// host without an intent has lost its intent, rather than being about to get one.
func (r *Reconciler) makePlan(ctx context.Context, site *config.Site, offers []cloud.Offer, query *cloudQuery) (PlanResult, error) {
	listed, err := r.refreshHosts(ctx, query)
	if err != nil {
		return PlanResult{}, err
	}
	plan, err := r.planFromListing(ctx, site, offers)
	if err != nil || listed || r.changesNothing(&plan) || r.onlyReplacesLost(&plan, query.intents) {
		return plan, err
	}
	if err := r.listHosts(ctx, query); err != nil {
		return PlanResult{}, err
	}
	return r.planFromListing(ctx, site, offers)
}

// planFromListing computes a plan from the newest listing of the hosts.
func (r *Reconciler) planFromListing(ctx context.Context, site *config.Site, offers []cloud.Offer) (PlanResult, error) {
	ledgers, err := r.currentLedgers(ctx)
	if err != nil {
		return PlanResult{}, err
	}
	return Plan(PlanInputs{
		Site: site, Offers: offers, Hosts: r.lastListing.hosts, Ledgers: ledgers,
		BackedOff: r.backoffs.backedOffPools(), Now: r.options.Clock(), Fence: r.fence,
		NewToken: func() string { return TokenPrefix + r.options.NewToken() },
	}), nil
}

// currentLedgers returns the ledgers, which it first reads from the store if they may have changed
// there.
func (r *Reconciler) currentLedgers(ctx context.Context) ([]*Ledger, error) {
	if !r.ledgersCurrent {
		if err := r.readLedgers(ctx); err != nil {
			return nil, err
		}
		r.ledgersCurrent = true
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

// readLedgers reads the ledgers from the store; one older than the version seen before is ignored.
func (r *Reconciler) readLedgers(ctx context.Context) error {
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

// saveLedgers writes the ledgers that have changed to the store.
func (r *Reconciler) saveLedgers(ctx context.Context, planned []*Ledger) error {
	for _, l := range planned {
		if err := r.saveLedger(ctx, l); err != nil {
			r.ledgersCurrent = false
			return err
		}
	}
	return nil
}

func (r *Reconciler) saveLedger(ctx context.Context, l *Ledger) error {
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
			r.cacheLedger(current)
		}
		return err
	}
	l.version = stored.Metadata.ResourceVersion
	r.cacheLedger(stored)
	return nil
}

// cacheLedger keeps a ledger that the store returned.
func (r *Reconciler) cacheLedger(object objects.Object) {
	if l, err := decodeLedger(object); err == nil {
		r.ledgers[l.FailureDomain] = l
	}
}
