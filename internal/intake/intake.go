// Package intake admits requests to the admission queues and grants turns: a request whose
// turn has come may search for a slot at an upstream.
//
// Invariants: only a few requests per pool search for slots at the same time, so that slots
// are taken in the order of the queue; a ticket is released once, which also returns its
// turn.
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

// SweepInterval is the interval at which Sweep is to be called.
const SweepInterval = 100 * time.Millisecond

const (
	// maxTurns is how many requests of one pool may search for slots at the same time.
	maxTurns = 16
	// defaultWorth is the worth of a kind that is not in the configuration.
	defaultWorth = 1
)

// Intake admits requests and grants them turns.
type Intake struct {
	site       config.View
	controller *admission.Controller
	estimator  *admission.Estimator

	mu sync.Mutex
	// turns is the number of requests per pool that are searching for a slot.
	turns map[routing.Pool]int
	pools []routing.Pool
}

var _ dispatch.Admission = (*Intake)(nil)

// New returns an intake that follows the current configuration of site.
func New(site config.View) *Intake {
	in := &Intake{
		site:      site,
		estimator: admission.NewEstimator(),
		turns:     make(map[routing.Pool]int),
	}
	in.controller = admission.NewController(admission.Settings{Share: in.share, MaxInFlight: in.maxInFlight})
	return in
}

// Counters returns the counts of admission decisions so far.
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
	in.grantTurns()
	return t, nil
}

// Sweep sheds the waiting requests that can't meet their deadlines any more and grants
// turns. It is to be called every SweepInterval.
func (in *Intake) Sweep() {
	in.controller.Expire(time.Now())
	in.grantTurns()
}

// grantTurns dispatches waiting requests until each pool has maxTurns turns in use.
func (in *Intake) grantTurns() {
	in.mu.Lock()
	defer in.mu.Unlock()
	now := time.Now()
	in.pools = in.controller.Pools(in.pools[:0])
	for _, pool := range in.pools {
		for in.turns[pool] < maxTurns {
			if _, ok := in.controller.Next(now, pool); !ok {
				break
			}
			in.turns[pool]++
		}
	}
}

// returnTurn returns the turn of a request that has a slot or was released.
func (in *Intake) returnTurn(pool routing.Pool) {
	in.mu.Lock()
	in.turns[pool]--
	in.mu.Unlock()
	in.grantTurns()
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
