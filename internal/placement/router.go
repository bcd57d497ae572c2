package placement

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"mangoledge.example/mangoledge/internal/admission"
	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/owner"
	"mangoledge.example/mangoledge/internal/request"
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
	// overcommit is how many requests may be in line for the slots of one upstream.
	overcommit = 4
	// askInLine is when a request in line asks again whether it has a slot.
	askInLine = 20 * time.Millisecond
)

// Options are what a Router works with.
type Options struct {
	Members membership.View
	// Fleet is the list of upstreams with the marks of those that leave.
	Fleet fleet.View
	// Listed is the same list without the marks; it gives the same slice until it changes.
	Listed fleet.View
	// Marks counts the marks of leaving that came or went.
	Marks func() uint64
	Calls owner.Caller
	// Now is the clock; nil means the machine's.
	Now    func() time.Time
	Logger *slog.Logger
	// Policy chooses among the upstreams of this node.
	Policy routing.Policy
	// MarkLeaving spreads the news that an upstream said it is leaving.
	MarkLeaving func(ident.Upstream)
	// ReclaimAt returns when the host of an upstream is taken away, by the
	// platform's clock, or zero while nobody has said; nil means never said.
	ReclaimAt func(fleet.Upstream) time.Time
	// Suspect reports whether upstreams have crashed under a request's content; nil means never.
	Suspect func(*request.Spec) bool
}

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
	_ dispatch.Router   = (*Router)(nil)
	_ dispatch.Reclaims = (*Router)(nil)
)

// NewRouter returns a router that knows no upstream until Update is called.
func NewRouter(options Options) *Router {
	if options.Now == nil {
		options.Now = time.Now
	}
	self := options.Members.Self()
	random := func() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) } //nolint:gosec // chooses upstreams
	table := routing.NewTable(routing.Options{Local: self.FailureDomain, MaxAge: owner.MaxListAge})
	return &Router{
		options:   options,
		self:      self,
		ledger:    owner.NewLedger(self.Node, self.FailureDomain, options.Policy, overcommit, random()),
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
func (r *Router) Pick(ctx context.Context, need *dispatch.Need) (dispatch.Placement, error) {
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
		return nil, verdict.New(verdict.NotRun, verdict.CodeNoUpstream, "no upstream serves %s%s now", features.Model, features.Service).After(waitForSlot)
	}
	return nil, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "no upstream has a free slot").After(waitForSlot)
}

// reserve asks one owner; reached is false when it did not answer.
func (r *Router) reserve(ctx context.Context, choice owner.Choice, need *dispatch.Need, features *routing.Features) (place *placed, reached bool) {
	args := r.reservation(need, features)
	ctx, cancel := context.WithDeadline(ctx, need.Spec.Deadline)
	defer cancel()
	reply, err := r.askUntilSlot(ctx, choice, args)
	now := r.options.Now()
	if ctx.Err() != nil {
		(&placed{router: r, choice: choice, id: args.ID}).Done(dispatch.OutcomeMoved, 0)
		return nil, true
	}
	if err != nil {
		// The owner may have reserved a slot all the same.
		(&placed{router: r, choice: choice, id: args.ID}).Done(dispatch.OutcomeMoved, 0)
		r.options.Logger.Warn("an owner did not answer", "owner", string(choice.Owner), "error", err)
		r.directory.Refused(choice.Owner, features.Pool(), now.Add(lostFor))
		return nil, false
	}
	r.directory.Heard(now, choice.Owner, reply.Summary)
	if !reply.Granted {
		r.noteRefusal(choice.Owner, features, now.Add(fullFor))
		return nil, true
	}
	upstream, ok := r.upstream(reply.Upstream)
	place = &placed{router: r, choice: choice, id: args.ID, upstream: upstream, cached: reply.CachedTokens}
	r.places.add(now, place)
	if !ok || r.Leaving(reply.Upstream) {
		place.Done(dispatch.OutcomeMoved, 0)
		return nil, true
	}
	return place, true
}

// noteRefusal has an owner that had no slot left alone until then, by requests like this one.
func (r *Router) noteRefusal(owner ident.Incarnation, features *routing.Features, until time.Time) {
	if features.Suspect {
		r.directory.RefusedSuspect(owner, features.Pool(), until)
		return
	}
	r.directory.Refused(owner, features.Pool(), until)
}

// askUntilSlot asks an owner until the request has a slot, is in no line or ctx ends.
func (r *Router) askUntilSlot(ctx context.Context, choice owner.Choice, args *owner.ReserveArgs) (owner.ReserveReply, error) {
	for {
		reply, err := r.askOwner(ctx, choice, args)
		if err != nil || !reply.Wait {
			return reply, err
		}
		select {
		case <-ctx.Done():
			return reply, ctx.Err()
		case <-time.After(askInLine):
		}
	}
}

func (r *Router) askOwner(ctx context.Context, choice owner.Choice, args *owner.ReserveArgs) (owner.ReserveReply, error) {
	if choice.Owner == r.self.Incarnation {
		return r.ledger.Reserve(r.options.Now(), args), nil
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	return r.client.Reserve(ctx, choice.Address, args)
}

// pickAlone chooses without an owner. Two owners for a moment cost only load.
func (r *Router) pickAlone(features *routing.Features) (dispatch.Placement, error) {
	now := r.options.Now()
	taken, ok := r.fallback.TakeKnown(now, features)
	if !ok {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNoUpstream, "no upstream serves %s%s now", features.Model, features.Service).After(waitForSlot)
	}
	upstream, ok := r.upstream(taken.Upstream)
	if !ok || r.Leaving(taken.Upstream) {
		r.table.Finished(now, taken.Upstream, false, routing.Outcome{Kind: routing.OutcomeUnsent})
		return nil, verdict.New(verdict.NotRun, verdict.CodeNoUpstream, "the chosen upstream has just left").After(waitForSlot)
	}
	return &alone{router: r, upstream: upstream, cached: taken.CachedTokens}, nil
}

func (r *Router) reservation(need *dispatch.Need, features *routing.Features) *owner.ReserveArgs {
	return &owner.ReserveArgs{
		ID:           owner.ReservationID{Holder: r.holder, Serial: r.serial.Add(1)},
		Model:        features.Model,
		Adapter:      features.Adapter,
		Service:      features.Service,
		Blocks:       features.Blocks,
		PromptTokens: features.PromptTokens,
		MaxTokens:    features.MaxTokens,
		Urgency:      request.UrgencyOf(need.Spec.Deadline, time.Duration(features.MaxTokens)*admission.TypicalPace),
		Avoid:        features.Avoid,
		Suspect:      features.Suspect,
		Pressing:     features.Pressing,
	}
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
