package testbed

import (
	"path/filepath"
	"strconv"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
)

// Engine is one stand-in engine process.
type Engine struct {
	*Process
	Upstream fleet.Upstream
}

// StartEngine starts an engine for model in domain; args are further flags of the stand-in.
func (b *Bed) StartEngine(id ident.Upstream, model ident.Model, domain ident.FailureDomain, slots int, args ...string) (*Engine, error) {
	upstream := fleet.Upstream{ID: id, FailureDomain: domain, Models: []ident.Model{model}, Slots: slots, PricePerHour: 1, Reclaimable: true}
	return b.startUpstream(upstream, append([]string{"engine", "--slots", strconv.Itoa(slots)}, args...))
}

// StartService starts a plain service in domain; args are further flags of the stand-in.
func (b *Bed) StartService(id ident.Upstream, service ident.Service, domain ident.FailureDomain, slots int, args ...string) (*Engine, error) {
	upstream := fleet.Upstream{ID: id, FailureDomain: domain, Service: service, Slots: slots, PricePerHour: 1}
	return b.startUpstream(upstream, append([]string{"service"}, args...))
}

func (b *Bed) startUpstream(upstream fleet.Upstream, args []string) (*Engine, error) {
	var err error
	upstream.Host, err = b.startHost(string(upstream.ID), upstream.FailureDomain)
	if err != nil {
		return nil, err
	}
	upstream.HostClass = hostClass
	upstream.Region = "default"
	upstream.State = fleet.StateReady
	historyPath := filepath.Join(b.Dir, string(upstream.ID)+".history")
	args = append(args, "--id", string(upstream.ID), "--history", historyPath)
	p, err := b.start(func() (*plan, error) { return b.standin(string(upstream.ID), args...) })
	if err != nil {
		return nil, err
	}
	upstream.URL = "http://" + p.Address
	b.mu.Lock()
	b.upstreams = append(b.upstreams, upstream)
	b.histories = append(b.histories, historyPath)
	b.mu.Unlock()
	return &Engine{Process: p, Upstream: upstream}, nil
}

// Upstreams returns every upstream started so far.
func (b *Bed) Upstreams() []fleet.Upstream {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]fleet.Upstream(nil), b.upstreams...)
}
