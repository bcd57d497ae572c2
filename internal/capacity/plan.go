package capacity

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/lease"
	"mangoledge.example/mangoledge/internal/platform/cloud"
)

const (
	// reclaimPenaltyLatencyOnly is the share of the price that the risk of a reclaim adds to it
	// when only latency counts.
	reclaimPenaltyLatencyOnly = 0.25
	// crowdingPenaltyCostOnly is the share of the price that is added for a replica beyond a
	// failure domain's share when only cost counts.
	crowdingPenaltyCostOnly = 0.5
	// crowdingPenaltyLatencyOnly is the same share when only latency counts.
	crowdingPenaltyLatencyOnly = 3
	// maxDomainShareCostOnly is the largest share of a model's replicas in one failure domain when
	// only cost counts.
	maxDomainShareCostOnly = 0.5
	// surgeShare is the share of a model's replicas that are replaced at a time when a new version
	// is rolled out.
	surgeShare = 0.1
	// maxNewIntents is the most intents that one plan adds.
	maxNewIntents = 100
	// minDomainsToSpread is the number of failure domains from which replicas are spread.
	minDomainsToSpread = 2
)

// PlanInputs are what a plan is computed from.
type PlanInputs struct {
	Site    *config.Site
	Offers  []cloud.Offer
	Hosts   []cloud.Host
	Ledgers []*Ledger
	// BackedOff are the pools that refused a start recently and are not tried now.
	BackedOff []cloud.Pool
	Now       time.Time
	// Fence is the fencing number of the holder that plans.
	Fence lease.Fence
	// NewToken returns a client token that was never used before.
	NewToken func() string
}

// PlanResult is the result of Plan.
type PlanResult struct {
	// Ledgers are the ledgers as they should become.
	Ledgers []*Ledger
	// Takeovers are the hosts that the plan takes over from less urgent models.
	Takeovers []Takeover
	// Rollouts are the models with replicas that do not have the declared version.
	Rollouts []Rollout
	// RolesNotOrdered are the models whose role some engines are not ordered to take, since they
	// ignore fencing numbers.
	RolesNotOrdered []ident.Model
}

// Plan computes a plan. It does no I/O and does not modify its inputs.
func Plan(in PlanInputs) PlanResult {
	p := newPlanner(in)
	p.syncWithCloud()
	p.markDrained()
	p.adoptOrphanHosts()
	p.removeUndeclared()
	for _, model := range p.modelsByPriority() {
		p.rollVersion(model)
		p.removeSurplus(model)
		p.addMissing(model)
		p.addCheaperReplicas(model)
		p.removeDrained(model)
		p.assignRoles(model)
		p.recordRollout(model)
	}
	return PlanResult{Ledgers: p.ledgers, Takeovers: p.takeovers, Rollouts: p.rollouts, RolesNotOrdered: p.rolesNotOrdered}
}

// planner holds the state of a plan while it is computed.
type planner struct {
	in      PlanInputs
	ledgers []*Ledger
	// hosts are the cloud's hosts, by client token.
	hosts map[string]cloud.Host
	// drained holds the tokens of the intents whose hosts an operator drains.
	drained map[string]bool
	// addedIntents is how many intents the plan has added.
	addedIntents int
	takeovers    []Takeover
	rollouts     []Rollout
	// rolesNotOrdered are the models whose role some engines cannot be ordered to take.
	rolesNotOrdered []ident.Model
}

func newPlanner(in PlanInputs) *planner {
	p := &planner{in: in, hosts: make(map[string]cloud.Host)}
	for _, l := range in.Ledgers {
		c := *l
		c.Intents = slices.Clone(l.Intents)
		p.ledgers = append(p.ledgers, &c)
	}
	for _, h := range in.Hosts {
		p.hosts[h.ClientToken] = h
	}
	return p
}

// ledgerFor returns the ledger of a failure domain, which it creates if there is none.
func (p *planner) ledgerFor(domain ident.FailureDomain) *Ledger {
	for _, l := range p.ledgers {
		if l.FailureDomain == domain {
			return l
		}
	}
	l := &Ledger{FailureDomain: domain}
	p.ledgers = append(p.ledgers, l)
	return l
}

// forEachIntent calls visit for each intent; visit may modify it.
func (p *planner) forEachIntent(visit func(*Intent)) {
	for _, l := range p.ledgers {
		for i := range l.Intents {
			visit(&l.Intents[i])
		}
	}
}

// syncWithCloud updates the intents from the cloud's state of their hosts: those of terminated
// hosts are removed, and those of hosts with a reclaim notice leave.
func (p *planner) syncWithCloud() {
	for _, l := range p.ledgers {
		l.Intents = slices.DeleteFunc(l.Intents, p.hostGone)
	}
	p.forEachIntent(func(i *Intent) {
		host, known := p.hosts[i.Token]
		if !known {
			return
		}
		i.Host, i.Address, i.PricePerHour = host.ID, host.Address, host.PricePerHour
		if i.Phase == PhaseStarting {
			i.Phase = PhaseLoading
		}
		if host.State == cloud.StateReclaiming {
			p.startLeaving(i)
		}
	})
}

// hostGone reports whether an intent no longer has a host. That includes an intent that began to
// leave before the cloud showed a host for it; if a host appears later, it is an orphan.
func (p *planner) hostGone(i Intent) bool {
	host, listed := p.hosts[i.Token]
	if listed {
		return host.State == cloud.StateTerminated
	}
	return i.Host != "" || i.Phase == PhaseLeaving
}

// adoptOrphanHosts adds leaving intents for running hosts that have none, so that they are
// terminated. Such a host results from a start call that took effect late. Hosts whose token does
// not have this package's prefix, such as the entry hosts, are left alone.
func (p *planner) adoptOrphanHosts() {
	known := make(map[string]bool)
	p.forEachIntent(func(i *Intent) { known[i.Token] = true })
	for _, h := range p.in.Hosts {
		if known[h.ClientToken] || h.State == cloud.StateTerminated || !strings.HasPrefix(h.ClientToken, TokenPrefix) {
			continue
		}
		l := p.ledgerFor(h.FailureDomain)
		orphan := Intent{Token: h.ClientToken, Pool: h.Pool, Phase: PhaseLoading, Host: h.ID, PricePerHour: h.PricePerHour}
		p.startLeaving(&orphan)
		l.Intents = append(l.Intents, orphan)
	}
}

// startLeaving makes an intent leave, unless it is leaving already.
func (p *planner) startLeaving(i *Intent) {
	if i.Phase != PhaseLeaving {
		i.Phase = PhaseLeaving
		i.LeavingSinceMs = p.in.Now.UnixMilli()
	}
}

// removeUndeclared makes the hosts of models that are no longer declared leave, and cancels
// takeovers for such models.
func (p *planner) removeUndeclared() {
	p.forEachIntent(func(i *Intent) {
		if i.Phase == PhaseMoving && !p.isDeclared(i.Next) {
			p.cancelTakeover(i)
		}
		if i.Phase != PhaseMoving && !p.isDeclared(i.Model) {
			p.startLeaving(i)
		}
	})
}

func (p *planner) isDeclared(model ident.Model) bool {
	return slices.ContainsFunc(p.in.Site.Models, func(m config.Model) bool { return m.Name == model })
}

func (p *planner) modelsByPriority() []config.Model {
	out := slices.Clone(p.in.Site.Models)
	slices.SortStableFunc(out, func(a, b config.Model) int { return cmp.Compare(b.Priority, a.Priority) })
	return out
}

// stayingIntents returns the intents of a model that are neither leaving nor drained, including
// those being emptied for it.
func (p *planner) stayingIntents(model ident.Model) []*Intent {
	var out []*Intent
	p.forEachIntent(func(i *Intent) {
		if i.countsAsReplicaOf(model) && !p.drained[i.Token] {
			out = append(out, i)
		}
	})
	return out
}

// surgeReplicas is how many replicas beyond its declared number a model may have while a new
// version is rolled out.
func (p *planner) surgeReplicas(model config.Model) int {
	for _, i := range p.stayingIntents(model.Name) {
		if i.Phase != PhaseMoving && i.Version != model.Version {
			return int(math.Ceil(surgeShare * float64(model.Replicas)))
		}
	}
	return 0
}

// rollVersion makes replicas with an old version leave: all that are not ready, and as many ready
// ones as exceed the declared number.
func (p *planner) rollVersion(model config.Model) {
	ready := 0
	var outdated []*Intent
	for _, i := range p.stayingIntents(model.Name) {
		if i.Phase == PhaseReady {
			ready++
		}
		if i.Phase != PhaseMoving && i.Version != model.Version {
			outdated = append(outdated, i)
		}
	}
	for _, i := range outdated {
		switch {
		case i.Phase != PhaseReady:
			p.startLeaving(i)
		case ready > model.Replicas:
			p.startLeaving(i)
			ready--
		}
	}
}

// removeSurplus removes replicas beyond the wanted number: those that are not ready first, then the
// most expensive, risks included. It does nothing while a move to cheaper hosts is pending.
func (p *planner) removeSurplus(model config.Model) {
	for {
		staying := p.stayingIntents(model.Name)
		if len(staying) <= model.Replicas+p.surgeReplicas(model) || p.costMovePending(model, staying) {
			return
		}
		costs := make(map[string]float64, len(staying))
		for k, cost := range p.replicaCosts(model, staying) {
			costs[staying[k].Token] = cost
		}
		victim := slices.MaxFunc(staying, func(a, b *Intent) int {
			return cmp.Or(
				cmp.Compare(phaseRank(b.Phase), phaseRank(a.Phase)),
				cmp.Compare(costs[a.Token], costs[b.Token]),
				cmp.Compare(a.Token, b.Token),
			)
		})
		p.removeReplica(victim)
	}
}

// phaseRank ranks phases by the order in which surplus replicas are removed, lowest first.
func phaseRank(phase Phase) int {
	switch phase {
	case PhaseMoving:
		return 0
	case PhaseStarting:
		return 1
	case PhaseLoading:
		return 2
	case PhaseReady:
		return 3
	case PhaseLeaving:
	}
	return -1
}

func countByDomain(intents []*Intent) map[ident.FailureDomain]int {
	out := make(map[ident.FailureDomain]int)
	for _, i := range intents {
		out[i.Pool.FailureDomain]++
	}
	return out
}

// addMissing adds intents until a model has the wanted number, or no pool is left; from then on it
// takes over running hosts of less urgent models, up to the declared number.
func (p *planner) addMissing(model config.Model) {
	wanted := model.Replicas + p.surgeReplicas(model)
	for n := len(p.stayingIntents(model.Name)); n < wanted && p.addedIntents < maxNewIntents; n++ {
		offer, _, ok := p.chooseOffer(model)
		switch {
		case ok:
			p.addIntent(model, offer)
		case n >= model.Replicas || !p.takeOverHost(model):
			return
		}
	}
}

// addIntent adds an intent for one more replica of a model.
func (p *planner) addIntent(model config.Model, offer cloud.Offer) {
	p.addedIntents++
	l := p.ledgerFor(offer.FailureDomain)
	l.Intents = append(l.Intents, Intent{
		Token: p.in.NewToken(), Pool: offer.Pool, Model: model.Name, Version: model.Version,
		Phase: PhaseStarting, PricePerHour: offer.PricePerHour, Fence: p.in.Fence,
	})
}
