package node

import (
	"github.com/rcrowley/go-metrics"

	"mangoledge.example/mangoledge/internal/admission"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/membership"
	shown "mangoledge.example/mangoledge/internal/metrics"
)

// labelState is the metric label for the state of members and upstreams.
const labelState = "state"

// registerGauges registers the gauges of the node's state, which are read on each scrape.
func (n *Node) registerGauges() {
	n.registerGauge("config.version", "Version of the configuration in force; the same on all nodes within seconds.", n.configVersion)
	n.registerGauge("config.stale", "1 when the node may be out of date and hands out no addresses.", n.isStale)
	n.registerGauge("requests.in_progress", "Requests that this node runs.", func() int64 { return int64(n.dispatcher.Running()) })
	n.registerGauge("poison.contents", "Contents known to have crashed upstreams.", func() int64 { return int64(len(n.guard.Registry().Snapshot())) })
	n.registerGauge("store.calls_total", "Calls of the object API, a waiting watch as one; bounded by the node's budget.", func() int64 { return int64(n.control.storeBudget.Calls()) })
	for _, state := range []membership.State{membership.StateAlive, membership.StateSuspect, membership.StateLeaving} {
		n.registerStateGauge("members", "Members by state, as this node knows them.", state.String(), func() int64 { return n.countMembers(state) })
	}
	for _, state := range []fleet.State{fleet.StateStarting, fleet.StateReady, fleet.StateLeaving} {
		n.registerStateGauge("upstreams", "Upstreams by state, as this node knows them.", string(state), func() int64 { return n.countUpstreams(state) })
	}
	n.registerAdmissionGauge("admission.accepted_total", "Requests accepted into the queues.", func(c admission.Counters) uint64 { return c.Accepted })
	n.registerAdmissionGauge("admission.refused_total", "Requests refused at once.", func(c admission.Counters) uint64 { return c.Refused })
	n.registerAdmissionGauge("admission.shed_total", "Accepted requests dropped from the queues for others that are worth more.", func(c admission.Counters) uint64 { return c.Shed })
	n.registerAdmissionGauge("admission.dispatched_total", "Requests whose turn came.", func(c admission.Counters) uint64 { return c.Dispatched })
}

// registerGauge registers a gauge that is read on each scrape.
func (n *Node) registerGauge(name, text string, read func() int64) {
	shown.Describe(name, text)
	_ = n.metrics.Register(name, metrics.NewFunctionalGauge(read)) // each name is registered once
}

// registerStateGauge registers a gauge for one value of the state label.
func (n *Node) registerStateGauge(name, text, state string, read func() int64) {
	shown.Describe(name, text)
	full := shown.Name(name, shown.Label{Name: labelState, Value: state})
	_ = n.metrics.Register(full, metrics.NewFunctionalGauge(read)) // each name is registered once
}

// registerAdmissionGauge registers a gauge for one of the admission counters.
func (n *Node) registerAdmissionGauge(name, text string, read func(admission.Counters) uint64) {
	n.registerGauge(name, text, func() int64 { return int64(read(n.intake.Counters())) })
}

// configVersion returns the version of the configuration in force, or 0 before the first.
func (n *Node) configVersion() int64 {
	site := n.control.manager.Current()
	if site == nil {
		return 0
	}
	return int64(site.Version)
}

// isStale returns 1 when the configuration may be out of date, else 0.
func (n *Node) isStale() int64 {
	if _, stale := n.control.stale(); stale {
		return 1
	}
	return 0
}

func (n *Node) countMembers(state membership.State) int64 {
	var count int64
	for _, member := range n.members.Members() {
		if member.State == state {
			count++
		}
	}
	return count
}

func (n *Node) countUpstreams(state fleet.State) int64 {
	var count int64
	upstreams := n.control.view.Upstreams()
	for i := range upstreams {
		if upstreams[i].State == state {
			count++
		}
	}
	return count
}
