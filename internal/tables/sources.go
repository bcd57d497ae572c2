package tables

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"mangoledge.example/mangoledge/internal/capacity"
	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/lease"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/poison"
	"mangoledge.example/mangoledge/internal/request"
)

// ProvideNodes fills the table nodes from view.
func ProvideNodes(r *Registry, view membership.View) {
	Provide(r, func(context.Context) ([]Node, error) {
		var out []Node
		for _, m := range view.Members() {
			out = append(out, Node{
				Node: string(m.Node), Incarnation: string(m.Incarnation), Region: string(m.Region),
				FailureDomain: string(m.FailureDomain), State: m.State.String(), CallerURL: m.CallerURL,
				PeerAddress: m.PeerAddress, Successor: string(m.Successor),
			})
		}
		return out, nil
	})
}

// ProvideUpstreams fills the tables upstreams and hosts from view.
func ProvideUpstreams(r *Registry, view fleet.View) {
	Provide(r, func(context.Context) ([]Upstream, error) {
		var out []Upstream
		upstreams := view.Upstreams()
		for i := range upstreams {
			out = append(out, upstreamRow(&upstreams[i]))
		}
		return out, nil
	})
	Provide(r, func(context.Context) ([]Host, error) {
		return hostRows(view.Upstreams()), nil
	})
}

func upstreamRow(u *fleet.Upstream) Upstream {
	serves := string(u.Service)
	if serves == "" {
		serves = commas(u.Models)
	}
	return Upstream{
		ID: string(u.ID), State: string(u.State), Serves: serves, Adapters: commas(u.Adapters),
		Host: string(u.Host), HostClass: string(u.HostClass), Region: string(u.Region),
		FailureDomain: string(u.FailureDomain), Slots: u.Slots, PricePerHour: u.PricePerHour,
		Reclaimable: u.Reclaimable, ChecksFencing: u.ChecksFencing, URL: u.URL,
	}
}

// hostRows groups upstreams by host; a host is leaving when one of its upstreams is.
func hostRows(upstreams []fleet.Upstream) []Host {
	at := make(map[ident.Host]int)
	var out []Host
	for i := range upstreams {
		u := &upstreams[i]
		n, known := at[u.Host]
		if !known {
			n = len(out)
			at[u.Host] = n
			out = append(out, Host{
				ID: string(u.Host), State: hostState(u.State), FailureDomain: string(u.FailureDomain),
				HostClass: string(u.HostClass), Reclaimable: u.Reclaimable, PricePerHour: u.PricePerHour,
			})
		}
		out[n].Upstreams++
		if u.State == fleet.StateLeaving {
			out[n].State = string(fleet.StateLeaving)
		}
	}
	return out
}

func hostState(state fleet.State) string {
	if state == fleet.StateReady {
		return "live"
	}
	return string(state)
}

// ProvideRequests fills the table requests from the records that list returns.
func ProvideRequests(r *Registry, list func() []request.Record) {
	Provide(r, func(context.Context) ([]Request, error) {
		var out []Request
		records := list()
		for i := range records {
			out = append(out, requestRow(&records[i]))
		}
		return out, nil
	})
}

func requestRow(record *request.Record) Request {
	spec := &record.Spec
	out := Request{
		ID: spec.ID.String(), Workspace: string(spec.Workspace), Kind: string(spec.Kind),
		Serves: string(spec.Model) + string(spec.Service), Phase: string(record.Phase),
		Priority: int(spec.Priority), Idempotent: spec.Idempotent, Stream: spec.Stream,
		Tokens: len(record.Tokens), Moves: record.Moves, Upstream: string(record.Upstream),
		Holder: string(record.Holder), Deadline: utc(spec.Deadline),
	}
	if record.Failure != nil {
		out.Failure = string(record.Failure.Code) + " " + record.Failure.Verdict.String()
	}
	return out
}

// ProvideConfiguration fills the tables of what operators declare. stale tells
// why the configuration may be out of date, or "".
func ProvideConfiguration(r *Registry, view config.View, upstreams fleet.View, stale func() string) {
	site := func() config.Site {
		if current := view.Current(); current != nil {
			return *current
		}
		return config.Site{}
	}
	Provide(r, func(context.Context) ([]Config, error) {
		s := site()
		return []Config{{Version: int(s.Version), Change: string(s.Change), LatencyWeight: s.Weights.Latency, Stale: stale()}}, nil
	})
	Provide(r, func(context.Context) ([]Model, error) {
		return rowsOf(site().Models, func(m config.Model) Model {
			return Model{Name: string(m.Name), Version: string(m.Version), Adapters: commas(m.Adapters), Role: string(m.Role), Replicas: m.Replicas, Priority: m.Priority, Ready: readyFor(upstreams, m.Name)}
		}), nil
	})
	Provide(r, func(context.Context) ([]Service, error) {
		return rowsOf(site().Services, func(s config.Service) Service {
			return Service{Name: string(s.Name), Repeatable: s.Repeatable, Ready: readyService(upstreams, s.Name)}
		}), nil
	})
	Provide(r, func(context.Context) ([]Workspace, error) {
		return rowsOf(site().Workspaces, func(w config.Workspace) Workspace {
			return Workspace{Name: string(w.Name), Share: w.Share, MaxInFlight: w.MaxInFlight}
		}), nil
	})
	Provide(r, func(context.Context) ([]Kind, error) {
		return rowsOf(site().Kinds, func(k config.Kind) Kind { return Kind{Name: string(k.Name), Worth: k.Worth} }), nil
	})
	Provide(r, func(context.Context) ([]Capacity, error) {
		return rowsOf(site().Capacity, func(c config.Capacity) Capacity {
			return Capacity{FailureDomain: string(c.FailureDomain), HostClass: string(c.HostClass), MaxHosts: c.MaxHosts, MaxPricePerHour: c.MaxPricePerHour, Reclaimable: c.Reclaimable, ChecksFencing: c.ChecksFencing}
		}), nil
	})
}

// The states of a roll-out.
const (
	rolloutRolling = "rolling"
	rolloutWaits   = "waits for a spare host"
)

// ProvideRollouts fills the table rollouts; list is nil on a node that never reconciles.
func ProvideRollouts(r *Registry, list func() []capacity.Rollout) {
	Provide(r, func(context.Context) ([]Rollout, error) {
		if list == nil {
			return nil, nil
		}
		return rowsOf(list(), func(o capacity.Rollout) Rollout {
			out := Rollout{Model: string(o.Model), Version: string(o.Version), Replicas: o.Replicas, Ready: o.Ready, Outdated: o.Outdated, State: rolloutRolling}
			if o.Waits {
				out.State = rolloutWaits
			}
			return out
		}), nil
	})
}

// ProvideDrains fills the table drains.
func ProvideDrains(r *Registry, view config.View, upstreams fleet.View) {
	Provide(r, func(context.Context) ([]Drain, error) {
		site := view.Current()
		if site == nil {
			return nil, nil
		}
		return rowsOf(site.Drains, func(d config.Drain) Drain {
			return Drain{ID: d.Key(), Change: string(d.Change), Upstreams: DrainedBy(upstreams, &d)}
		}), nil
	})
}

// DrainedBy counts the upstreams that a drain is about.
func DrainedBy(view fleet.View, drain *config.Drain) int {
	n := 0
	upstreams := view.Upstreams()
	for i := range upstreams {
		if drain.Covers(upstreams[i].Host, upstreams[i].ID) {
			n++
		}
	}
	return n
}

func rowsOf[In, Out any](in []In, row func(In) Out) []Out {
	out := make([]Out, 0, len(in))
	for _, one := range in {
		out = append(out, row(one))
	}
	return out
}

func readyFor(view fleet.View, model ident.Model) int {
	n := 0
	upstreams := view.Upstreams()
	for i := range upstreams {
		if upstreams[i].State == fleet.StateReady && upstreams[i].Serves(model) {
			n++
		}
	}
	return n
}

func readyService(view fleet.View, service ident.Service) int {
	n := 0
	upstreams := view.Upstreams()
	for i := range upstreams {
		if upstreams[i].State == fleet.StateReady && upstreams[i].Service == service {
			n++
		}
	}
	return n
}

func commas[S ~string](names []S) string {
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, string(name))
	}
	return strings.Join(parts, ",")
}

func utc(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339)
}

// ProvideChanges fills the table changes from the latest changes of the configuration.
func ProvideChanges(r *Registry, list func() []config.ChangeRecord, inForce config.View) {
	Provide(r, func(context.Context) ([]Change, error) {
		records := list()
		var out []Change
		for i, record := range records {
			version := uint64(0)
			if i+1 < len(records) {
				version = records[i+1].Base
			} else if current := inForce.Current(); current != nil && current.Change == record.Change {
				version = current.Version
			}
			out = append(out, Change{ID: string(record.Change), Base: int(record.Base), Version: int(version), Command: record.Summary})
		}
		return out, nil
	})
}

// ProvidePoison fills the table poison from what registry knows.
func ProvidePoison(r *Registry, registry *poison.Registry) {
	Provide(r, func(context.Context) ([]Poison, error) {
		return rowsOf(registry.Snapshot(), func(e poison.Entry) Poison {
			return Poison{ID: PoisonID(e.Fingerprint), Crashes: e.Count(), Refused: e.Convicted(), ClearedAt: clearedAt(&e)}
		}), nil
	})
}

func clearedAt(e *poison.Entry) string {
	if e.ClearedAt == 0 {
		return ""
	}
	return utc(time.Unix(e.ClearedAt, 0))
}

// PoisonID returns the name of a content in the table poison.
func PoisonID(f poison.Fingerprint) string {
	return fmt.Sprintf("%016x", uint64(f))
}

// ParsePoisonID undoes PoisonID.
func ParsePoisonID(text string) (poison.Fingerprint, error) {
	n, err := strconv.ParseUint(text, 16, 64)
	return poison.Fingerprint(n), err
}

// LeaseView is a node's part in a lease; *lease.Lease is one.
type LeaseView interface {
	Look(ctx context.Context) lease.Record
	Check() (lease.Fence, error)
}

// ProvideLeases fills the table leases; leases are called by the names of their duties.
func ProvideLeases(r *Registry, leases map[string]LeaseView) {
	Provide(r, func(ctx context.Context) ([]Lease, error) {
		var out []Lease
		for name, view := range leases {
			seen := view.Look(ctx)
			_, err := view.Check()
			out = append(out, Lease{Name: name, Holder: string(seen.Holder), Fencing: int(seen.Fence), TTLMs: int(seen.TTLMs), Here: err == nil})
		}
		slices.SortFunc(out, func(a, b Lease) int { return strings.Compare(a.Name, b.Name) })
		return out, nil
	})
}
