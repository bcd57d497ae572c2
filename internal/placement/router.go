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
	// reserveTimeout is the timeout of one call to an owner.
	reserveTimeout = 200 * time.Millisecond
	// maxOwnerAttempts is the number of owners that are asked in one call of Pick.
	maxOwnerAttempts = 4
	// refusalBackoff is how long an owner without a free slot is avoided.
	refusalBackoff = 30 * time.Millisecond
	// unreachableBackoff is how long an owner that did not answer is avoided.
	unreachableBackoff = time.Second
	// retryAfterNoSlot is the retry delay that Pick returns when it found no slot.
	retryAfterNoSlot = 20 * time.Millisecond
)

// Router places requests. It implements dispatch.Router and dispatch.ReclaimTimes.
//
// Lock order: Router.mu and heldPlacements.mu are leaves.
type Router struct {
	options   Options
	self      membership.Member
	ledger    *owner.Ledger
	directory *owner.Directory
	client    *owner.Client
	// lastUpdate is accessed only by Update, which a single goroutine calls.
	lastUpdate updateState
	// fallback chooses from table when owners can't be reached.
	fallback *routing.Router
	table    *routing.Table
	// serial is the serial number of this node's last reservation.
	serial atomic.Uint64
	// holder identifies this node in its reservations.
	holder ident.IncarnationHash
	// held are the slots that owners have reserved for this node.
	held *heldPlacements

	mu sync.RWMutex
	// upstreams are those of the last full Update.
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
	table := routing.NewTable(routing.Options{LocalDomain: self.FailureDomain, MaxAge: owner.MaxUpstreamListAge})
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
		held:      newHeldPlacements(),
	}
}

// Ledger returns the ledger of the upstreams that this node owns.
func (r *Router) Ledger() *owner.Ledger {
	return r.ledger
}

// Directory returns the directory of owners.
func (r *Router) Directory() *owner.Directory {
	return r.directory
}

// Update refreshes the upstreams and members. When nothing has changed it only confirms
// to the tables that their lists are current. The tables detect a pause of the process
// by the time since the last Update, and choose again only after updates have run
// regularly for a while.
func (r *Router) Update(now time.Time) {
	if !r.lastUpdate.changed(now, r.options) {
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

// Leaving reports whether the upstream accepts no new requests.
func (r *Router) Leaving(id ident.Upstream) bool {
	if r.table.Leaving(id) {
		return true
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	u, ok := r.upstreams[id]
	return ok && u.State != fleet.StateReady
}

// ReclaimAt returns when the platform reclaims the upstream's host, by the platform's
// clock; zero if no reclaim was announced.
func (r *Router) ReclaimAt(id ident.Upstream) time.Time {
	u, ok := r.upstream(id)
	if !ok || r.options.ReclaimAt == nil {
		return time.Time{}
	}
	return r.options.ReclaimAt(u)
}

// MarkLeaving stops sending new requests to the upstream and announces to other nodes
// that it is leaving.
func (r *Router) MarkLeaving(id ident.Upstream) {
	r.table.MarkLeaving(id)
	r.ledger.Table().MarkLeaving(id)
	r.options.MarkLeaving(id)
}

// Pick chooses an upstream for a request and reserves a slot there.
func (r *Router) Pick(ctx context.Context, req *dispatch.PlacementRequest) (dispatch.Placement, error) {
	features := featuresOf(req)
	features.Suspect = r.options.Suspect != nil && r.options.Suspect(req.Spec)
	features.Pressing = owner.IsPressing(r.options.Now(), req.LatestStart)
	for range maxOwnerAttempts {
		choice, ok := r.directory.Choose(r.options.Now(), &features)
		if !ok {
			break
		}
		placement, reached := r.reserve(ctx, choice, req, &features)
		if placement != nil {
			return placement, nil
		}
		if !reached && features.Suspect {
			break // only the owner ensures that suspects do not share an upstream
		}
		if !reached {
			return r.pickWithoutOwner(&features)
		}
	}
	if !r.isServed(&features) {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNoUpstream, "no upstream serves %s%s now", features.Model, features.Service).WithRetryAfter(retryAfterNoSlot)
	}
	return nil, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "no upstream has a free slot").WithRetryAfter(retryAfterNoSlot)
}

// upstream returns the upstream with an ID as of the last Update.
func (r *Router) upstream(id ident.Upstream) (fleet.Upstream, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	u, ok := r.upstreams[id]
	return u, ok
}

// isServed reports whether any ready upstream serves the request's model or service.
func (r *Router) isServed(features *routing.Features) bool {
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
