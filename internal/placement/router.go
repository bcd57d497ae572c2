package placement

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/owner"
	"mangoledge.example/mangoledge/internal/routing"
	"mangoledge.example/mangoledge/internal/verdict"
)

const (
	// reserveTimeout bounds one call to an owner.
	reserveTimeout = 200 * time.Millisecond
	// maxOwners is how many owners are asked for one request before it waits.
	maxOwners = 4
	// fullFor is how long an owner that had no slot is left alone.
	fullFor = 30 * time.Millisecond
	// lostFor is how long an owner that did not answer is left alone.
	lostFor = time.Second
	// waitForSlot is when to ask again after no owner had a slot.
	waitForSlot = 20 * time.Millisecond
)

// Router places requests; it is a dispatch.Router and a dispatch.Reclaims.
//
// Lock order: Router.mu and places.mu are leaves.
type Router struct {
	options   Options
	self      membership.Member
	ledger    *owner.Ledger
	directory *owner.Directory
	client    *owner.Client
	// seen is touched by Update alone, which one goroutine calls.
	seen seen
	// fallback is used when owners can't be reached.
	fallback *routing.Router
	table    *routing.Table
	serial   atomic.Uint64
	// holder is this node as the owners know it.
	holder ident.IncarnationHash
	// places are the slots that this node holds.
	places *places

	mu        sync.RWMutex
	upstreams map[ident.Upstream]fleet.Upstream
}

var (
	_ dispatch.Router       = (*Router)(nil)
	_ dispatch.ReclaimTimes = (*Router)(nil)
)

// NewRouter returns a router that knows no upstream until Update is called.
func NewRouter(options Options) *Router {
	if options.Now == nil {
		options.Now = time.Now
	}
	self := options.Members.Self()
	random := func() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) } //nolint:gosec // chooses upstreams
	table := routing.NewTable(routing.Options{LocalDomain: self.FailureDomain, MaxAge: owner.MaxListAge})
	return &Router{
		options:   options,
		self:      self,
		ledger:    owner.NewLedger(self.Node, self.FailureDomain, options.Policy, routing.DefaultOvercommit, random()),
		directory: owner.NewDirectory(self, random()),
		client:    owner.NewClient(options.Calls),
		table:     table,
		fallback:  routing.NewRouter(table, options.Policy, random()),
		upstreams: make(map[ident.Upstream]fleet.Upstream),
		holder:    self.Incarnation.Hash(),
		places:    newPlaces(),
	}
}

// Ledger returns the counts of the upstreams that this node owns.
func (r *Router) Ledger() *owner.Ledger {
	return r.ledger
}

// Directory returns what is known of other owners.
func (r *Router) Directory() *owner.Directory {
	return r.directory
}

// Update takes over the upstreams and members as they are now. When nothing has
// changed it only notes that what is known is still true. That a process was
// paused shows at each decision by the time since the last Update, and the tables
// choose again only when updates have gone on for a while.
func (r *Router) Update(now time.Time) {
	if !r.seen.changed(now, r.options) {
		r.table.Confirm(now)
		r.ledger.Table().Confirm(now)
		return
	}
	upstreams := r.options.Fleet.Upstreams()
	members := r.options.Members.Members()
	known := make(map[ident.Upstream]fleet.Upstream, len(upstreams))
	for i := range upstreams {
		known[upstreams[i].ID] = upstreams[i]
	}
	r.mu.Lock()
	r.upstreams = known
	r.mu.Unlock()
	r.ledger.Update(now, upstreams, members)
	r.directory.Update(upstreams, members)
	r.table.Update(now, upstreams)
}

// Leaving reports whether the upstream takes no new work.
func (r *Router) Leaving(id ident.Upstream) bool {
	if r.table.Leaving(id) {
		return true
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	u, ok := r.upstreams[id]
	return ok && u.State != fleet.StateReady
}

// ReclaimAt returns when the upstream's host is taken away, by the platform's
// clock; zero while nobody has said.
func (r *Router) ReclaimAt(id ident.Upstream) time.Time {
	u, ok := r.upstream(id)
	if !ok || r.options.ReclaimAt == nil {
		return time.Time{}
	}
	return r.options.ReclaimAt(u)
}

// MarkLeaving stops new work for the upstream here and spreads the news.
func (r *Router) MarkLeaving(id ident.Upstream) {
	r.table.MarkLeaving(id)
	r.ledger.Table().MarkLeaving(id)
	r.options.MarkLeaving(id)
}

// Pick reserves a place for a request.
func (r *Router) Pick(ctx context.Context, need *dispatch.PlacementRequest) (dispatch.Placement, error) {
	features := featuresOf(need)
	features.Suspect = r.options.Suspect != nil && r.options.Suspect(need.Spec)
	features.Pressing = owner.Pressing(r.options.Now(), need.LatestStart)
	for range maxOwners {
		choice, ok := r.directory.Choose(r.options.Now(), &features)
		if !ok {
			break
		}
		place, reached := r.reserve(ctx, choice, need, &features)
		if place != nil {
			return place, nil
		}
		if !reached && features.Suspect {
			break // only an owner keeps it apart from other suspects
		}
		if !reached {
			return r.pickAlone(&features)
		}
	}
	if !r.known(&features) {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNoUpstream, "no upstream serves %s%s now", features.Model, features.Service).WithRetryAfter(waitForSlot)
	}
	return nil, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "no upstream has a free slot").WithRetryAfter(waitForSlot)
}

func (r *Router) upstream(id ident.Upstream) (fleet.Upstream, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	u, ok := r.upstreams[id]
	return u, ok
}

// known reports whether any upstream could serve the request.
func (r *Router) known(features *routing.Features) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, u := range r.upstreams {
		if u.State != fleet.StateReady {
			continue
		}
		if features.Service != "" && u.Service == features.Service {
			return true
		}
		if features.Model != "" && u.Serves(features.Model) {
			return true
		}
	}
	return false
}
