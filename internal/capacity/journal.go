package capacity

import (
	"slices"

	"mangoledge.example/mangoledge/internal/explain"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/lease"
)

// The reconciler's decisions about hosts, as the explain journal records them.
var (
	hostStarted = &explain.Decision{
		Name:     "host started",
		Sentence: "Started for model {model}, as a {market} host of class {hostClass} in failure domain {failureDomain}, at {pricePerHour} an hour, within the declared capacity.",
	}
	hostRefused = &explain.Decision{
		Name:     "host start refused",
		Sentence: "The cloud refused a {market} host of class {hostClass} in failure domain {failureDomain} for model {model}; other offers are tried first for a while.",
	}
	modelLoadOrdered = &explain.Decision{
		Name:     "load ordered",
		Sentence: "Its engine was ordered to load model {model}, version {version}, under fencing number {fence}.",
	}
	adapterLoadOrdered = &explain.Decision{
		Name:     "load ordered",
		Sentence: "Its engine was ordered to load adapter {adapter} of model {model}, version {version}, under fencing number {fence}.",
	}
	roleOrdered = &explain.Decision{
		Name:     "role ordered",
		Sentence: "Its engine was ordered to take the role {role}, for model {model}, under fencing number {fence}.",
	}
	roleNotOrdered = &explain.Decision{
		Name:     "role not ordered",
		Sentence: "Some engines of model {model} are not ordered to take its role, since they ignore fencing numbers: a late order of another node could undo it. See checksFencing in `show capacity`.",
	}
	hostTakenOver = &explain.Decision{
		Name:     "host taken",
		Sentence: "No host could be started for model {to}, which is more urgent than {from}: host {host} is emptied, and model {to} is loaded when its work is done.",
	}
	rolloutBlocked = &explain.Decision{
		Name:     "roll-out waits",
		Sentence: "The roll-out of version {version} of model {model} waits for a spare host: {outdated} of {replicas} replicas have another version, and none may leave before a new one is ready. Raise maxHosts or maxPricePerHour, or lower replicas by one.",
	}
	rolloutResumed = &explain.Decision{
		Name:     "roll-out goes on",
		Sentence: "The roll-out of model {model} does not wait for a spare host any more.",
	}
	hostTerminated = &explain.Decision{
		Name:     "host ended",
		Sentence: "Ended: it was leaving, and its work was done or had had its time.",
	}
)

// poolID is the ID in the explain journal for hosts of a pool that were never started.
func poolID(i *Intent) string {
	return string(i.Pool.FailureDomain) + "/" + string(i.Pool.HostClass) + "/" + string(i.Pool.Market)
}

func (r *Reconciler) journalStart(i *Intent, decision *explain.Decision, id string) {
	r.options.Journal.Record(explain.KindHost, id, decision,
		explain.Text("model", i.Model), explain.Text("market", i.Pool.Market),
		explain.Text("hostClass", i.Pool.HostClass), explain.Text("failureDomain", i.Pool.FailureDomain),
		explain.Number("pricePerHour", i.PricePerHour))
}

func (r *Reconciler) journalLoadOrder(i *Intent, adapter ident.Adapter, fence lease.Fence) {
	model, version := explain.Text("model", i.Model), explain.Text("version", i.Version)
	number := explain.Number("fence", uint64(fence))
	if adapter == "" {
		r.options.Journal.Record(explain.KindHost, string(i.Host), modelLoadOrdered, model, version, number)
		return
	}
	r.options.Journal.Record(explain.KindHost, string(i.Host), adapterLoadOrdered, model, version, number, explain.Text("adapter", adapter))
}

// journalPlan records the decisions of a plan; a decision that persists over several plans is
// recorded once.
func (r *Reconciler) journalPlan(plan *PlanResult) {
	r.rollouts.Store(&plan.Rollouts)
	for _, t := range plan.Takeovers {
		r.options.Logger.Info("host taken for a more urgent model", "host", t.Host, "from", t.From, "to", t.To)
		inputs := []explain.Input{explain.Text("host", t.Host), explain.Text("from", t.From), explain.Text("to", t.To)}
		r.options.Journal.Record(explain.KindHost, string(t.Host), hostTakenOver, inputs...)
		r.options.Journal.Record(explain.KindModel, string(t.From), hostTakenOver, inputs...)
		r.options.Journal.Record(explain.KindModel, string(t.To), hostTakenOver, inputs...)
	}
	for _, model := range plan.RolesNotOrdered {
		if !slices.Contains(r.rolesNotOrdered, model) {
			r.options.Journal.Record(explain.KindModel, string(model), roleNotOrdered, explain.Text("model", model))
		}
	}
	r.rolesNotOrdered = plan.RolesNotOrdered
	waiting := make(map[ident.Model]bool)
	for _, rollout := range plan.Rollouts {
		if rollout.WaitsForHost {
			waiting[rollout.Model] = true
			r.journalRolloutBlocked(rollout)
		}
	}
	for model := range r.blockedRollouts {
		if !waiting[model] {
			r.options.Journal.Record(explain.KindModel, string(model), rolloutResumed, explain.Text("model", model))
		}
	}
	r.blockedRollouts = waiting
}

// journalRolloutBlocked records that a roll-out has begun to wait for a spare host.
func (r *Reconciler) journalRolloutBlocked(rollout Rollout) {
	if r.blockedRollouts[rollout.Model] {
		return
	}
	r.options.Logger.Info("a roll-out waits for a spare host", "model", rollout.Model, "version", rollout.Version)
	r.options.Journal.Record(explain.KindModel, string(rollout.Model), rolloutBlocked,
		explain.Text("model", rollout.Model), explain.Text("version", rollout.Version),
		explain.Number("outdated", rollout.Outdated), explain.Number("replicas", rollout.Replicas))
}

func (r *Reconciler) journalRoleOrder(i *Intent, fence lease.Fence) {
	r.options.Journal.Record(explain.KindHost, string(i.Host), roleOrdered,
		explain.Text("role", i.Role), explain.Text("model", i.Model), explain.Number("fence", uint64(fence)))
}

func (r *Reconciler) journalTermination(i *Intent) {
	r.options.Journal.Record(explain.KindHost, string(i.Host), hostTerminated, explain.Text("model", i.Model))
}
