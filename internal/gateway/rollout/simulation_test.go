package rollout

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/platform/objects"
)

const (
	simStep  = 5 * time.Millisecond
	simRound = 200 * time.Millisecond
	simShare = 0.1
	simSlack = 50
	simNodes = 6
)

// answer is how a version answers a request.
type answer struct {
	failed  bool
	latency time.Duration
}

// simulation is nodes before a service of two versions, with a clock and a store of its own.
type simulation struct {
	t      *testing.T
	random *seededRandom
	start  time.Time
	now    time.Time
	nodes  []*Rollouts
	cutOff map[int]bool
	// dead nodes take no requests and lead no order.
	dead   map[int]bool
	list   []site.Upstream
	rate   float64
	order  Order
	entry  uint64
	holder int
	fence  uint64
	// beforeWrite may fail a write before it takes effect, afterWrite its answer.
	beforeWrite, afterWrite func(State) bool
	writes                  []State
	// answers says how a version answers a route when an upstream gets so many requests a second.
	answers func(version, route string, after time.Duration, perUpstream float64) answer
	// total and toNew count the requests since the order, bad the bad answers of the new version.
	total, toNew, bad, afterVerdict int
	arrivals                        map[string]float64
}

// seededRandom is a source of random numbers that can be seeded again.
type seededRandom struct{ *rand.Rand }

func newSeededRandom(seed uint64) *seededRandom {
	return &seededRandom{rand.New(rand.NewPCG(seed, 11))}
}

// Seed starts the source anew.
func (r *seededRandom) Seed(seed uint64) { r.Rand = rand.New(rand.NewPCG(seed, 11)) }

func newSimulation(t *testing.T, answers func(version, route string, after time.Duration, perUpstream float64) answer) *simulation {
	s := &simulation{
		t: t, random: newSeededRandom(7), start: time.Unix(1000, 0), now: time.Unix(1000, 0), rate: 600,
		cutOff: make(map[int]bool), dead: make(map[int]bool), arrivals: make(map[string]float64), fence: 1, answers: answers,
		beforeWrite: func(State) bool { return true }, afterWrite: func(State) bool { return true },
		order: Order{Service: "s", Target: "v2", Duration: 20 * time.Second, Created: 1}, entry: 1,
	}
	for i := range 20 {
		s.list = append(s.list,
			site.Upstream{ID: fmt.Sprint("old-", i), Service: "s", Version: "v1", Slots: 8},
			site.Upstream{ID: fmt.Sprint("new-", i), Service: "s", Version: "v2", Slots: 8})
	}
	for range simNodes {
		s.nodes = append(s.nodes, s.newNode())
	}
	s.publish()
	return s
}

func (s *simulation) newNode() *Rollouts {
	return New(Options{
		Decode: func(o objects.Object) (out Order, err error) { return out, json.Unmarshal(o.Spec, &out) },
		Share:  simShare, Slack: simSlack, Now: func() time.Time { return s.now }, Logger: slog.New(slog.DiscardHandler),
	})
}

// object returns the order's entry in the store.
func (s *simulation) object() objects.Object {
	spec, _ := json.Marshal(s.order) // plain values always marshal
	return objects.Object{Metadata: objects.Metadata{Name: "s", ResourceVersion: objects.VersionOf(1, s.entry)}, Spec: spec}
}

// publish shows the entry to the nodes that are not cut off.
func (s *simulation) publish() {
	for i, n := range s.nodes {
		if !s.cutOff[i] {
			n.Put(s.object())
		}
	}
}

// write is a conditional write of the order's state.
func (s *simulation) write(seen objects.Object, state State, fence uint64) error {
	if !s.beforeWrite(state) || seen.Metadata.ResourceVersion.Revision() != s.entry {
		return errors.New("not written")
	}
	s.order.State, s.order.Fence = state, fence
	s.entry++
	s.writes = append(s.writes, state)
	if !s.afterWrite(state) {
		return errors.New("the answer is lost")
	}
	s.nodes[s.holder].Put(s.object())
	return nil
}

// exchangeReports lets all nodes judge, and the holder act.
func (s *simulation) exchangeReports() {
	var reports []PeerReport
	owner := []int{}
	for i, n := range s.nodes {
		for _, r := range n.Reports() {
			data := r
			reports = append(reports, PeerReport{Report: data, Leads: i == s.holder && !s.dead[i]})
			owner = append(owner, i)
		}
	}
	view := map[string][]site.Upstream{"s": s.list}
	for i, n := range s.nodes {
		var heard []PeerReport
		for k := range reports {
			if owner[k] != i && !s.cutOff[i] && !s.cutOff[owner[k]] {
				heard = append(heard, reports[k])
			}
		}
		n.Evaluate(heard, len(s.nodes), view)
	}
	s.publish()
	if !s.dead[s.holder] && !s.cutOff[s.holder] {
		s.lead(s.nodes[s.holder])
	}
}

func (s *simulation) lead(n *Rollouts) {
	for _, d := range n.Duties() {
		p := &d.Progress
		p.Fence, p.Settle, p.OldSlots, p.NewSlots = s.fence, MinSettle, 160, 160
		action := Decide(p)
		n.LeadMove("s", action == Move || action == Complete)
		switch action {
		case Claim:
			_ = s.write(d.Object, InProgress, s.fence) // tried again in the next round
		case Complete:
			_ = s.write(d.Object, Completed, s.fence) // tried again in the next round
		case RollBack:
			_ = s.write(d.Object, RolledBack, s.fence) // tried again in the next round
		case Hold, Move:
		}
	}
}

// succeed makes another node the holder.
func (s *simulation) succeed(to int) { s.holder, s.fence = to, s.fence+1 }

// run lets time pass until the given time after the order, and calls each at every step.
func (s *simulation) run(until time.Duration, each func(after time.Duration)) {
	next := s.now
	for s.now.Sub(s.start) < until {
		if each != nil {
			each(s.now.Sub(s.start))
		}
		if !s.now.Before(next) {
			s.exchangeReports()
			next = next.Add(simRound)
		}
		for range int(s.rate*simStep.Seconds() + s.random.Float64()) {
			s.send()
		}
		for id := range s.arrivals {
			s.arrivals[id] *= math.Exp(-simStep.Seconds())
		}
		s.now = s.now.Add(simStep)
	}
}

// send sends one request at a random node.
func (s *simulation) send() {
	i := s.random.IntN(len(s.nodes))
	if s.dead[i] {
		return
	}
	n, route := s.nodes[i], fmt.Sprint("r", s.random.IntN(4))
	choice := n.Choose("s", route)
	candidates := choice.Candidates(s.list, false)
	if len(candidates) == 0 {
		return
	}
	u := candidates[s.random.IntN(len(candidates))]
	if !n.Allows(&u) {
		s.t.Errorf("the candidate %s of %s is not allowed", u.ID, u.Version)
	}
	choice.Picked(&u)
	s.total++
	s.arrivals[u.ID]++
	a := s.answers(u.Version, route, s.now.Sub(s.start), s.arrivals[u.ID])
	n.Observe(&Observation{Service: "s", Route: route, Upstream: u, Latency: a.latency})
	n.Observe(&Observation{Service: "s", Route: route, Upstream: u, Ended: true, Failed: a.failed})
	if u.Version != "v2" {
		return
	}
	s.toNew++
	if a.failed || a.latency >= time.Second {
		s.bad++
	}
	if s.order.State == RolledBack {
		s.afterVerdict++
	}
}

// sound answers as the version before: a few failures, uneven latencies that rise with the load.
func (s *simulation) sound(perUpstream float64) answer {
	return answer{
		failed:  s.random.Float64() < 0.01,
		latency: time.Duration(float64(100*time.Millisecond) * math.Exp(0.4*s.random.NormFloat64()) * (1 + perUpstream/100)),
	}
}
