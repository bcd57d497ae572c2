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
	// reclaimRiskShare is what the risk of a reclaim adds to a price when only latency counts.
	reclaimRiskShare = 0.25
	// crowdingCostOnly is what a replica beyond a failure domain's share adds to a price when only cost counts.
	crowdingCostOnly = 0.5
	// crowdingLatencyOnly is the same when only latency counts.
	crowdingLatencyOnly = 3
	// maxDomainShare is the most of a model's replicas in one failure domain when only cost counts.
	maxDomainShare = 0.5
	// surgeShare is the part of a model's replicas that a new version is rolled by at a time.
	surgeShare = 0.1
	// maxNewIntents is the most intents that one plan adds.
	maxNewIntents = 100
	// minDomainsToSpread is from how many failure domains on replicas are spread.
	minDomainsToSpread = 2
)

// Inputs are what a plan is made from.
type Inputs struct {
	Site    *config.Site
	Offers  []cloud.Offer
	Hosts   []cloud.Host
	Ledgers []*Ledger
	// Resting are pools that refused a start lately.
	Resting []cloud.Pool
	Now     time.Time
	// Fence is the fencing number of the holder that plans.
	Fence lease.Fence
	// NewToken makes a client token that was never used before.
	NewToken func() string
}

// Planned is a plan.
type Planned struct {
	// Ledgers are the ledgers as they should be.
	Ledgers []*Ledger
	// Takings are the hosts that the plan takes from less urgent models.
	Takings []Taking
	// Rollouts are the models whose replicas do not all have their version.
	Rollouts []Rollout
	// Unordered are the models with a role of which some engines ignore fencing numbers.
	Unordered []ident.Model
}

// Plan makes a plan. It does no I/O and changes no input.
func Plan(in Inputs) Planned {
	p := newPlanner(in)
	p.followCloud()
	p.followDrains()
	p.adoptStrays()
	p.dropUndeclared()
	for _, model := range p.modelsByPriority() {
		p.roll(model)
		p.shrink(model)
		p.grow(model)
		p.economize(model)
		p.releaseDrained(model)
		p.assignRoles(model)
		p.noteRollout(model)
	}
	return Planned{Ledgers: p.ledgers, Takings: p.takings, Rollouts: p.rollouts, Unordered: p.unordered}
}

// planner holds a plan in the making.
type planner struct {
	in      Inputs
	ledgers []*Ledger
	hosts   map[string]cloud.Host
	// drained are the tokens of the intents whose host an operator drains.
	drained map[string]bool
	// added counts the new intents.
	added    int
	takings  []Taking
	rollouts []Rollout
	// unordered are models whose role some engines can't be ordered to take.
	unordered []ident.Model
}

func newPlanner(in Inputs) *planner {
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

// ledger returns the ledger of a failure domain, made when there is none.
func (p *planner) ledger(domain ident.FailureDomain) *Ledger {
	for _, l := range p.ledgers {
		if l.FailureDomain == domain {
			return l
		}
	}
	l := &Ledger{FailureDomain: domain}
	p.ledgers = append(p.ledgers, l)
	return l
}

// intents calls visit for each intent; visit may change it.
func (p *planner) intents(visit func(*Intent)) {
	for _, l := range p.ledgers {
		for i := range l.Intents {
			visit(&l.Intents[i])
		}
	}
}

// followCloud takes over what the cloud says of the hosts: ended ones are struck
// off, and those with a reclaim notice leave.
func (p *planner) followCloud() {
	for _, l := range p.ledgers {
		l.Intents = slices.DeleteFunc(l.Intents, p.ended)
	}
	p.intents(func(i *Intent) {
		host, known := p.hosts[i.Token]
		if !known {
			return
		}
		i.Host, i.Address, i.PricePerHour = host.ID, host.Address, host.PricePerHour
		if i.Phase == PhaseStarting {
			i.Phase = PhaseLoading
		}
		if host.State == cloud.StateReclaiming {
			p.leave(i)
		}
	})
}

// ended reports whether an intent has no host any more. One that left before the
// cloud was seen to give a host is struck off too; a host that comes late is a stray.
func (p *planner) ended(i Intent) bool {
	host, listed := p.hosts[i.Token]
	if listed {
		return host.State == cloud.StateTerminated
	}
	return i.Host != "" || i.Phase == PhaseLeaving
}

// adoptStrays writes down hosts that run without an intent, as leaving, so that
// they are ended. Such a host comes from a start that arrived late. Hosts whose
// token is not of this package, such as the entry hosts, are left alone.
func (p *planner) adoptStrays() {
	known := make(map[string]bool)
	p.intents(func(i *Intent) { known[i.Token] = true })
	for _, h := range p.in.Hosts {
		if known[h.ClientToken] || h.State == cloud.StateTerminated || !strings.HasPrefix(h.ClientToken, TokenPrefix) {
			continue
		}
		l := p.ledger(h.FailureDomain)
		stray := Intent{Token: h.ClientToken, Pool: h.Pool, Phase: PhaseLoading, Host: h.ID, PricePerHour: h.PricePerHour}
		p.leave(&stray)
		l.Intents = append(l.Intents, stray)
	}
}

// leave lets an intent leave unless it does already.
func (p *planner) leave(i *Intent) {
	if i.Phase != PhaseLeaving {
		i.Phase = PhaseLeaving
		i.LeavingSinceMs = p.in.Now.UnixMilli()
	}
}

// dropUndeclared lets go what serves a model that is no longer declared.
func (p *planner) dropUndeclared() {
	p.intents(func(i *Intent) {
		if i.Phase == PhaseMoving && !p.declared(i.Next) {
			p.giveBack(i)
		}
		if i.Phase != PhaseMoving && !p.declared(i.Model) {
			p.leave(i)
		}
	})
}

func (p *planner) declared(model ident.Model) bool {
	return slices.ContainsFunc(p.in.Site.Models, func(m config.Model) bool { return m.Name == model })
}

func (p *planner) modelsByPriority() []config.Model {
	out := slices.Clone(p.in.Site.Models)
	slices.SortStableFunc(out, func(a, b config.Model) int { return cmp.Compare(b.Priority, a.Priority) })
	return out
}

// staying returns the intents of a model that neither leave nor are drained, those
// that are being emptied for it among them.
func (p *planner) staying(model ident.Model) []*Intent {
	var out []*Intent
	p.intents(func(i *Intent) {
		if i.servesOrWill(model) && !p.drained[i.Token] {
			out = append(out, i)
		}
	})
	return out
}

// surge is by how many replicas a model runs above its number while its version is rolled.
func (p *planner) surge(model config.Model) int {
	for _, i := range p.staying(model.Name) {
		if i.Phase != PhaseMoving && i.Version != model.Version {
			return int(math.Ceil(surgeShare * float64(model.Replicas)))
		}
	}
	return 0
}

// roll lets replicas with an old version leave, as many as are ready beyond the declared number.
func (p *planner) roll(model config.Model) {
	ready := 0
	var outdated []*Intent
	for _, i := range p.staying(model.Name) {
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
			p.leave(i)
		case ready > model.Replicas:
			p.leave(i)
			ready--
		}
	}
}

// shrink lets replicas beyond the wanted number leave: the ones that are not ready
// first, then the dearest, risks included. A move to cheaper hosts is waited for.
func (p *planner) shrink(model config.Model) {
	for {
		staying := p.staying(model.Name)
		if len(staying) <= model.Replicas+p.surge(model) || p.moving(model, staying) {
			return
		}
		costs := make(map[string]float64, len(staying))
		for k, cost := range p.stayingCosts(model, staying) {
			costs[staying[k].Token] = cost
		}
		victim := slices.MaxFunc(staying, func(a, b *Intent) int {
			return cmp.Or(
				cmp.Compare(rank(b.Phase), rank(a.Phase)),
				cmp.Compare(costs[a.Token], costs[b.Token]),
				cmp.Compare(a.Token, b.Token),
			)
		})
		p.letGo(victim)
	}
}

// rank orders phases by how much a replica in it is worth.
func rank(phase Phase) int {
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

func countDomains(intents []*Intent) map[ident.FailureDomain]int {
	out := make(map[ident.FailureDomain]int)
	for _, i := range intents {
		out[i.Pool.FailureDomain]++
	}
	return out
}

// grow adds intents until a model has its wanted number, or no pool is left; then it
// takes running hosts of less urgent models up to the declared number.
func (p *planner) grow(model config.Model) {
	wanted := model.Replicas + p.surge(model)
	for n := len(p.staying(model.Name)); n < wanted && p.added < maxNewIntents; n++ {
		offer, _, ok := p.choose(model)
		switch {
		case ok:
			p.add(model, offer)
		case n >= model.Replicas || !p.take(model):
			return
		}
	}
}

// add adds an intent for one more replica of a model.
func (p *planner) add(model config.Model, offer cloud.Offer) {
	p.added++
	l := p.ledger(offer.FailureDomain)
	l.Intents = append(l.Intents, Intent{
		Token: p.in.NewToken(), Pool: offer.Pool, Model: model.Name, Version: model.Version,
		Phase: PhaseStarting, PricePerHour: offer.PricePerHour, Fence: p.in.Fence,
	})
}
