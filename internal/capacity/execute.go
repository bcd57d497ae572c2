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

// intentResult is the outcome of executing one intent.
type intentResult uint8

const (
	// resultKept means that the intent is kept in its present state.
	resultKept intentResult = iota
	// resultRefused means that the cloud has no capacity for the intent's host at present.
	resultRefused
	// resultStarted means that the cloud started the intent's host.
	resultStarted
	// resultUnknown means that the intent is kept and that the outcome of the last call can be
	// learnt only from the cloud.
	resultUnknown
)

// executeIntents performs the next step of each intent and removes the intents whose start was
// refused; it reports whether there were any.
func (r *Reconciler) executeIntents(ctx context.Context, site *config.Site, planned []*Ledger) (refused bool) {
	for _, l := range planned {
		results := make([]intentResult, len(l.Intents))
		var group errgroup.Group
		group.SetLimit(maxParallelCalls)
		for i := range l.Intents {
			group.Go(func() error {
				results[i] = r.executeIntent(ctx, site, &l.Intents[i])
				return nil
			})
		}
		_ = group.Wait()
		r.applyResults(l, results)
		refused = refused || slices.Contains(results, resultRefused)
	}
	return refused
}

// applyResults records refused starts and unknown outcomes, and removes the intents whose start was
// refused.
func (r *Reconciler) applyResults(l *Ledger, results []intentResult) {
	refused := make(map[string]bool)
	for i, outcome := range results {
		intent := l.Intents[i]
		switch outcome {
		case resultRefused:
			refused[intent.Token] = true
			r.journalStart(&intent, hostRefused, poolID(&intent))
			r.options.Logger.Info("host start refused", "failureDomain", intent.Pool.FailureDomain,
				"hostClass", intent.Pool.HostClass, "market", intent.Pool.Market, "model", intent.Model)
		case resultStarted:
			r.backoffs.recordStart(intent.Pool)
			r.journalStart(&intent, hostStarted, string(intent.Host))
		case resultUnknown:
			r.lastListing.outcomeUnknown[intent.Token] = true
		case resultKept:
		}
	}
	recorded := make(map[cloud.Pool]bool)
	for _, intent := range l.Intents {
		if refused[intent.Token] && !recorded[intent.Pool] {
			recorded[intent.Pool] = true
			r.backoffs.recordRefusal(intent.Pool)
		}
	}
	l.Intents = slices.DeleteFunc(l.Intents, func(i Intent) bool { return refused[i.Token] })
}

// executeIntent performs the next step of one intent. A step that fails is retried at the next
// pass.
func (r *Reconciler) executeIntent(ctx context.Context, site *config.Site, i *Intent) intentResult {
	var err error
	switch i.Phase {
	case PhaseStarting:
		return r.startHost(ctx, i)
	case PhaseLoading, PhaseReady:
		err = r.loadModel(ctx, site, i)
	case PhaseMoving:
		r.switchModel(ctx, site, i)
	case PhaseLeaving:
		return r.terminateDrained(ctx, i)
	}
	return r.resultForError(i, err)
}

// resultForError returns the result for an intent that is kept, given the error of its step.
func (r *Reconciler) resultForError(i *Intent, err error) intentResult {
	if err == nil {
		return resultKept
	}
	if !errors.Is(err, weights.ErrBusy) {
		r.options.Logger.Info("capacity step failed", "phase", i.Phase, "host", i.Host, "error", err)
	}
	return resultUnknown
}

// startHost asks the cloud to start the intent's host. A start with an unknown outcome is
// repeated at the next pass.
func (r *Reconciler) startHost(ctx context.Context, i *Intent) intentResult {
	if _, err := r.options.Lease.Check(); err != nil {
		return resultKept
	}
	testpause.At(testpause.CapacityStart)
	host, err := r.options.Cloud.Start(ctx, cloud.Start{ClientToken: i.Token, Pool: i.Pool})
	if cloud.IsNoCapacity(err) {
		return resultRefused
	}
	if err != nil {
		r.options.Logger.Info("host start failed, outcome unknown", "token", i.Token, "error", err)
		return resultKept
	}
	i.Host, i.Address, i.PricePerHour = host.ID, host.Address, host.PricePerHour
	i.Phase = PhaseLoading
	return resultStarted
}

// loadModel orders the host's engine to load the model and the adapters it lacks.
func (r *Reconciler) loadModel(ctx context.Context, site *config.Site, i *Intent) error {
	at := slices.IndexFunc(site.Models, func(m config.Model) bool { return m.Name == i.Model })
	if at < 0 || i.Address == "" {
		return nil
	}
	if i.Phase == PhaseLoading {
		if err := r.orderLoad(ctx, site, i, ""); err != nil {
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
		if err := r.orderLoad(ctx, site, i, adapter); err != nil {
			return err
		}
		i.Loaded = append(i.Loaded, adapter)
	}
	return nil
}

// orderLoad registers a load with the weight store and then orders the engine to perform it.
func (r *Reconciler) orderLoad(ctx context.Context, site *config.Site, i *Intent, adapter ident.Adapter) error {
	fence, err := r.checkLease(site, i.Pool)
	if err != nil {
		return err
	}
	load := weights.Load{Host: i.Host, Model: i.Model, Version: i.Version, Adapter: adapter}
	if err := r.options.Weights.Begin(ctx, load); err != nil {
		return err
	}
	if _, err := r.checkLease(site, i.Pool); err != nil {
		return err
	}
	testpause.At(testpause.CapacityOrder)
	order := LoadOrder{Model: i.Model, Version: i.Version, Adapter: adapter, Fencing: fence}
	if err := r.options.Engines.Load(ctx, i.Address, order); err != nil {
		return err
	}
	r.journalLoadOrder(i, adapter, fence)
	return nil
}

// orderRole orders the engine to take its role unless that was already ordered. Engines that ignore
// fencing numbers are not ordered to take one.
func (r *Reconciler) orderRole(ctx context.Context, site *config.Site, i *Intent) error {
	if i.Role == i.OrderedRole || !checksFencing(site, i.Pool) {
		return nil
	}
	fence, err := r.options.Lease.Check()
	if err != nil {
		return err
	}
	if err := r.options.Engines.SetRole(ctx, i.Address, RoleOrder{Role: i.Role, Fencing: fence}); err != nil {
		return err
	}
	i.OrderedRole = i.Role
	r.journalRoleOrder(i, fence)
	return nil
}

// checkLease checks the lease, in the variant that the engines of a pool require.
func (r *Reconciler) checkLease(site *config.Site, pool cloud.Pool) (lease.Fence, error) {
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

// terminateDrained terminates the host of a leaving intent once it has drained.
func (r *Reconciler) terminateDrained(ctx context.Context, i *Intent) intentResult {
	if i.Host == "" {
		return resultKept // the cloud never started it, or will list it
	}
	if !r.drainFinished(ctx, i) {
		return resultKept
	}
	if err := r.terminateHost(ctx, i); err != nil {
		return r.resultForError(i, err)
	}
	return resultUnknown // until the cloud lists it as terminated
}

// terminateHost terminates the host of an intent.
func (r *Reconciler) terminateHost(ctx context.Context, i *Intent) error {
	if _, err := r.options.Lease.Check(); err != nil {
		return err
	}
	if err := r.options.Cloud.Terminate(ctx, i.Host); err != nil {
		return err
	}
	r.journalTermination(i)
	return nil
}

// switchModel assigns an idle host to its next model, which is loaded after the change has been
// saved. It waits for as long as the engine has work, so that no request is interrupted.
func (r *Reconciler) switchModel(ctx context.Context, site *config.Site, i *Intent) {
	at := slices.IndexFunc(site.Models, func(m config.Model) bool { return m.Name == i.Next })
	since := r.options.Clock().Sub(time.UnixMilli(i.LeavingSinceMs))
	if at < 0 || since < minDrain || !r.engineIdle(ctx, i) {
		return
	}
	i.Model, i.Version, i.Next = i.Next, site.Models[at].Version, ""
	i.Phase, i.Loaded, i.LeavingSinceMs = PhaseLoading, nil, 0
}

// engineIdle reports whether the engine of a host reports no running and no waiting requests.
func (r *Reconciler) engineIdle(ctx context.Context, i *Intent) bool {
	status, err := r.options.Engines.Status(ctx, i.Address)
	return err == nil && status.Running == 0 && status.Waiting == 0
}

// drainFinished reports whether a leaving host may be terminated.
func (r *Reconciler) drainFinished(ctx context.Context, i *Intent) bool {
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
	return r.engineIdle(ctx, i)
}
