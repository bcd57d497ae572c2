package capacity

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/lease"
	"mangoledge.example/mangoledge/internal/platform/cloud"
	"mangoledge.example/mangoledge/internal/platform/weights"
	"mangoledge.example/mangoledge/internal/testpause"
)

// result is what became of the work on one intent.
type result uint8

const (
	// resultKept means that the intent stands, as it is now.
	resultKept result = iota
	// resultRefused means that the cloud has no such host now.
	resultRefused
	// resultStarted means that the cloud gave its host.
	resultStarted
	// resultUnsettled means that the intent stands, and that only the cloud shows what
	// became of what was tried.
	resultUnsettled
)

// act does what is due for each intent, and strikes off those that were refused;
// it reports whether any was.
func (r *Reconciler) act(ctx context.Context, site *config.Site, planned []*Ledger) (refused bool) {
	for _, l := range planned {
		results := make([]result, len(l.Intents))
		var group errgroup.Group
		group.SetLimit(maxParallelCalls)
		for i := range l.Intents {
			group.Go(func() error {
				results[i] = r.actOn(ctx, site, &l.Intents[i])
				return nil
			})
		}
		_ = group.Wait()
		r.settle(l, results)
		refused = refused || slices.Contains(results, resultRefused)
	}
	return refused
}

// settle notes refusals and what only the cloud shows, and strikes off the intents that met one.
func (r *Reconciler) settle(l *Ledger, results []result) {
	refused := make(map[string]bool)
	for i, outcome := range results {
		intent := l.Intents[i]
		switch outcome {
		case resultRefused:
			refused[intent.Token] = true
			r.noteStart(&intent, hostRefused, poolID(&intent))
			r.options.Logger.Info("host start refused", "failureDomain", intent.Pool.FailureDomain,
				"hostClass", intent.Pool.HostClass, "market", intent.Pool.Market, "model", intent.Model)
		case resultStarted:
			r.refusals.clear(intent.Pool)
			r.noteStart(&intent, hostStarted, string(intent.Host))
		case resultUnsettled:
			r.listing.unsettled[intent.Token] = true
		case resultKept:
		}
	}
	noted := make(map[cloud.Pool]bool)
	for _, intent := range l.Intents {
		if refused[intent.Token] && !noted[intent.Pool] {
			noted[intent.Pool] = true
			r.refusals.add(intent.Pool)
		}
	}
	l.Intents = slices.DeleteFunc(l.Intents, func(i Intent) bool { return refused[i.Token] })
}

// actOn does what is due for one intent. What fails is tried again at the next pass.
func (r *Reconciler) actOn(ctx context.Context, site *config.Site, i *Intent) result {
	var err error
	switch i.Phase {
	case PhaseStarting:
		return r.start(ctx, i)
	case PhaseLoading, PhaseReady:
		err = r.load(ctx, site, i)
	case PhaseMoving:
		r.move(ctx, site, i)
	case PhaseLeaving:
		return r.leave(ctx, i)
	}
	return r.resultOf(i, err)
}

// resultOf tells what became of an intent that is kept.
func (r *Reconciler) resultOf(i *Intent, err error) result {
	if err == nil {
		return resultKept
	}
	if !errors.Is(err, weights.ErrBusy) {
		r.options.Logger.Info("capacity step failed", "phase", i.Phase, "host", i.Host, "error", err)
	}
	return resultUnsettled
}

// start asks the cloud for the intent's host.
func (r *Reconciler) start(ctx context.Context, i *Intent) result {
	if _, err := r.options.Lease.Check(); err != nil {
		return resultKept
	}
	testpause.At(testpause.CapacityStart)
	host, err := r.options.Cloud.Start(ctx, cloud.Start{ClientToken: i.Token, Pool: i.Pool})
	if cloud.IsNoCapacity(err) {
		return resultRefused
	}
	if err != nil {
		r.options.Logger.Info("host start has no answer", "token", i.Token, "error", err)
		return resultKept
	}
	i.Host, i.Address, i.PricePerHour = host.ID, host.Address, host.PricePerHour
	i.Phase = PhaseLoading
	return resultStarted
}

// load lets the host load the model and whatever adapters it lacks.
func (r *Reconciler) load(ctx context.Context, site *config.Site, i *Intent) error {
	at := slices.IndexFunc(site.Models, func(m config.Model) bool { return m.Name == i.Model })
	if at < 0 || i.Address == "" {
		return nil
	}
	if i.Phase == PhaseLoading {
		if err := r.order(ctx, site, i, ""); err != nil {
			return err
		}
		if err := r.orderRole(ctx, site, i); err != nil {
			return err
		}
		i.Phase = PhaseReady
	}
	if err := r.orderRole(ctx, site, i); err != nil {
		return err
	}
	for _, adapter := range site.Models[at].Adapters {
		if slices.Contains(i.Loaded, adapter) {
			continue
		}
		if err := r.order(ctx, site, i, adapter); err != nil {
			return err
		}
		i.Loaded = append(i.Loaded, adapter)
	}
	return nil
}

// order lets one load begin at the weight store and orders the engine to make it.
func (r *Reconciler) order(ctx context.Context, site *config.Site, i *Intent, adapter ident.Adapter) error {
	fence, err := r.check(site, i.Pool)
	if err != nil {
		return err
	}
	load := weights.Load{Host: i.Host, Model: i.Model, Version: i.Version, Adapter: adapter}
	if err := r.options.Weights.Begin(ctx, load); err != nil {
		return err
	}
	if _, err := r.check(site, i.Pool); err != nil {
		return err
	}
	testpause.At(testpause.CapacityOrder)
	order := LoadOrder{Model: i.Model, Version: i.Version, Adapter: adapter, Fencing: fence}
	if err := r.options.Engines.Load(ctx, i.Address, order); err != nil {
		return err
	}
	r.noteOrder(i, adapter, fence)
	return nil
}

// orderRole orders the engine to take its role unless it was ordered to. Engines that
// ignore fencing numbers get no role by the plan.
func (r *Reconciler) orderRole(ctx context.Context, site *config.Site, i *Intent) error {
	if i.Role == i.OrderedRole || !checksFencing(site, i.Pool) {
		return nil
	}
	fence, err := r.options.Lease.Check()
	if err != nil {
		return err
	}
	if err := r.options.Engines.TakeRole(ctx, i.Address, RoleOrder{Role: i.Role, Fencing: fence}); err != nil {
		return err
	}
	i.OrderedRole = i.Role
	r.noteRole(i, fence)
	return nil
}

// check checks the lease as the engines of a pool need it.
func (r *Reconciler) check(site *config.Site, pool cloud.Pool) (lease.Fence, error) {
	if checksFencing(site, pool) {
		return r.options.Lease.Check()
	}
	return r.options.Lease.CheckUnfenced()
}

func checksFencing(site *config.Site, pool cloud.Pool) bool {
	return slices.ContainsFunc(site.Capacity, func(row config.Capacity) bool {
		return poolOf(row) == pool && row.ChecksFencing
	})
}

// leave ends the host of a leaving intent when its work is done.
func (r *Reconciler) leave(ctx context.Context, i *Intent) result {
	if i.Host == "" {
		return resultKept // the cloud never gave it, or will list it
	}
	if !r.drained(ctx, i) {
		return resultKept
	}
	if err := r.end(ctx, i); err != nil {
		return r.resultOf(i, err)
	}
	return resultUnsettled // until the cloud lists it as ended
}

// end ends the host of an intent.
func (r *Reconciler) end(ctx context.Context, i *Intent) error {
	if _, err := r.options.Lease.Check(); err != nil {
		return err
	}
	if err := r.options.Cloud.Terminate(ctx, i.Host); err != nil {
		return err
	}
	r.noteEnd(i)
	return nil
}

// move gives a host that is empty to its next model, which is loaded once that is
// written down. It waits for as long as there is work, so that nothing is cut off.
func (r *Reconciler) move(ctx context.Context, site *config.Site, i *Intent) {
	at := slices.IndexFunc(site.Models, func(m config.Model) bool { return m.Name == i.Next })
	since := r.options.Clock().Sub(time.UnixMilli(i.LeavingSinceMs))
	if at < 0 || since < minDrain || !r.idle(ctx, i) {
		return
	}
	i.Model, i.Version, i.Next = i.Next, site.Models[at].Version, ""
	i.Phase, i.Loaded, i.LeavingSinceMs = PhaseLoading, nil, 0
}

// idle reports whether the engine of a host says that it has no work.
func (r *Reconciler) idle(ctx context.Context, i *Intent) bool {
	status, err := r.options.Engines.Status(ctx, i.Address)
	return err == nil && status.Running == 0 && status.Waiting == 0
}

// drained reports whether a leaving host may be ended.
func (r *Reconciler) drained(ctx context.Context, i *Intent) bool {
	if i.Address == "" {
		return true
	}
	leaving := r.options.Clock().Sub(time.UnixMilli(i.LeavingSinceMs))
	if leaving < minDrain {
		return false
	}
	if leaving >= maxDrain {
		return true
	}
	return r.idle(ctx, i)
}
