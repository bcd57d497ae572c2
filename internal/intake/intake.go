// Package intake accepts requests into admission's queues and hands out turns:
// a request whose turn has come may ask for a slot at an upstream.
//
// Invariants: of one pool only a few requests ask for slots at once, so that
// the order of the queue is the order in which slots are taken; a ticket is
// released once, and releasing it gives its turn back.
//
// Lock order: Intake.mu is taken before the lock of admission.Controller.
package intake

import (
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/admission"
	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/routing"
)

// SweepInterval is the time between two looks for waiting requests that can't
// meet their deadlines any more.
const SweepInterval = 100 * time.Millisecond

const (
	// askers is how many requests of one pool ask for slots at once.
	askers = 16
	// defaultWorth is the worth of a kind that the configuration does not name.
	defaultWorth = 1
)

// Intake accepts requests.
type Intake struct {
	site       config.View
	controller *admission.Controller
	estimator  *admission.Estimator

	mu sync.Mutex
	// asking counts the requests of a pool that ask for a slot now.
	asking map[routing.Pool]int
	pools  []routing.Pool
}

var _ dispatch.Admission = (*Intake)(nil)

// New returns an intake for the configuration that site has in force.
func New(site config.View) *Intake {
	in := &Intake{
		site:      site,
		estimator: admission.NewEstimator(),
		asking:    make(map[routing.Pool]int),
	}
	in.controller = admission.NewController(admission.Settings{Share: in.share, MaxInFlight: in.maxInFlight})
	return in
}

// Counters returns what was decided so far.
func (in *Intake) Counters() admission.Counters {
	return in.controller.Counters()
}

// Admit accepts a request, or refuses it with an error of verdict NotRun.
func (in *Intake) Admit(spec *request.Spec) (dispatch.Ticket, error) {
	pool := routing.Pool{Model: spec.Model, Service: spec.Service}
	accepted, refusal := in.controller.Admit(time.Now(), &admission.Request{
		Workspace: spec.Workspace,
		Kind:      spec.Kind,
		Pool:      pool,
		Priority:  spec.Priority,
		Worth:     in.worth(spec.Kind),
		Cost:      in.estimator.Cost(spec.Kind, spec.MaxTokens),
		Deadline:  spec.Deadline,
	})
	if refusal != nil {
		return nil, refusal
	}
	t := &ticket{intake: in, admitted: accepted, pool: pool}
	in.pump()
	return t, nil
}

// Sweep refuses the waiting requests that can't meet their deadlines any more,
// and hands out turns. It is to be called every SweepInterval.
func (in *Intake) Sweep() {
	in.controller.Expire(time.Now())
	in.pump()
}

// pump hands out turns.
func (in *Intake) pump() {
	in.mu.Lock()
	defer in.mu.Unlock()
	now := time.Now()
	in.pools = in.controller.Pools(in.pools[:0])
	for _, pool := range in.pools {
		for in.asking[pool] < askers {
			if _, ok := in.controller.Next(now, pool); !ok {
				break
			}
			in.asking[pool]++
		}
	}
}

// stopAsking gives a turn to ask back.
func (in *Intake) stopAsking(pool routing.Pool) {
	in.mu.Lock()
	in.asking[pool]--
	in.mu.Unlock()
	in.pump()
}

func (in *Intake) share(name ident.Workspace) float64 {
	if w := in.workspace(name); w != nil {
		return w.Share
	}
	return 0
}

func (in *Intake) maxInFlight(name ident.Workspace) int {
	if w := in.workspace(name); w != nil {
		return w.MaxInFlight
	}
	return 0
}

func (in *Intake) workspace(name ident.Workspace) *config.Workspace {
	site := in.site.Current()
	if site == nil {
		return nil
	}
	for i := range site.Workspaces {
		if site.Workspaces[i].Name == name {
			return &site.Workspaces[i]
		}
	}
	return nil
}

func (in *Intake) worth(kind ident.Kind) float64 {
	site := in.site.Current()
	if site == nil {
		return defaultWorth
	}
	for i := range site.Kinds {
		if site.Kinds[i].Name == kind {
			return site.Kinds[i].Worth
		}
	}
	return defaultWorth
}
