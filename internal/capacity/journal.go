package capacity

import (
	"mangoledge.example/mangoledge/internal/explain"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/lease"
)

// What the reconciler decides about hosts, for explain.
var (
	hostStarted = &explain.Decision{
		Name:     "host started",
		Sentence: "Started for model {model}, as a {market} host of class {hostClass} in failure domain {failureDomain}, at {pricePerHour} an hour, within the declared capacity.",
	}
	hostRefused = &explain.Decision{
		Name:     "host start refused",
		Sentence: "The cloud refused a {market} host of class {hostClass} in failure domain {failureDomain} for model {model}; other offers are tried first for a while.",
	}
	hostOrdered = &explain.Decision{
		Name:     "load ordered",
		Sentence: "Its engine was ordered to load model {model}, version {version}, under fencing number {fence}.",
	}
	adapterOrdered = &explain.Decision{
		Name:     "load ordered",
		Sentence: "Its engine was ordered to load adapter {adapter} of model {model}, version {version}, under fencing number {fence}.",
	}
	hostEnded = &explain.Decision{
		Name:     "host ended",
		Sentence: "Ended: it was leaving, and its work was done or had had its time.",
	}
)

// poolID is how explain calls a pool of hosts that are not there yet.
func poolID(i *Intent) string {
	return string(i.Pool.FailureDomain) + "/" + string(i.Pool.HostClass) + "/" + string(i.Pool.Market)
}

func (r *Reconciler) noteStart(i *Intent, decision *explain.Decision, id string) {
	r.options.Journal.Record(explain.KindHost, id, decision,
		explain.Text("model", i.Model), explain.Text("market", i.Pool.Market),
		explain.Text("hostClass", i.Pool.HostClass), explain.Text("failureDomain", i.Pool.FailureDomain),
		explain.Number("pricePerHour", i.PricePerHour))
}

func (r *Reconciler) noteOrder(i *Intent, adapter ident.Adapter, fence lease.Fence) {
	model, version := explain.Text("model", i.Model), explain.Text("version", i.Version)
	number := explain.Number("fence", uint64(fence))
	if adapter == "" {
		r.options.Journal.Record(explain.KindHost, string(i.Host), hostOrdered, model, version, number)
		return
	}
	r.options.Journal.Record(explain.KindHost, string(i.Host), adapterOrdered, model, version, number, explain.Text("adapter", adapter))
}

func (r *Reconciler) noteEnd(i *Intent) {
	r.options.Journal.Record(explain.KindHost, string(i.Host), hostEnded, explain.Text("model", i.Model))
}
