package testbed

import (
	"path/filepath"
	"strconv"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
)

// UpstreamProcess is one process of a stand-in engine or plain service.
type UpstreamProcess struct {
	*Process
	Upstream fleet.Upstream
}

// StartEngine starts a stand-in engine for model in domain; args are additional flags of its program.
func (b *Bed) StartEngine(id ident.Upstream, model ident.Model, domain ident.FailureDomain, slots int, args ...string) (*UpstreamProcess, error) {
	upstream := fleet.Upstream{ID: id, FailureDomain: domain, Models: []ident.Model{model}, Slots: slots, PricePerHour: 1, Reclaimable: true}
	return b.startUpstream(upstream, append([]string{"engine", "--slots", strconv.Itoa(slots)}, args...))
}

// StartService starts a stand-in for a plain service in domain; args are additional flags of its program.
func (b *Bed) StartService(id ident.Upstream, service ident.Service, domain ident.FailureDomain, slots int, args ...string) (*UpstreamProcess, error) {
	upstream := fleet.Upstream{ID: id, FailureDomain: domain, Service: service, Slots: slots, PricePerHour: 1}
	return b.startUpstream(upstream, append([]string{"service"}, args...))
}

// startUpstream starts a stand-in with args on a new host. It sets the fields of
// upstream that follow from that, and adds it to Upstreams.
func (b *Bed) startUpstream(upstream fleet.Upstream, args []string) (*UpstreamProcess, error) {
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
	p, err := b.start(func() (*processSpec, error) { return b.standinSpec(string(upstream.ID), args...) })
	if err != nil {
		return nil, err
	}
	upstream.URL = "http://" + p.Address
	b.mu.Lock()
	b.upstreams = append(b.upstreams, upstream)
	b.histories = append(b.histories, historyPath)
	b.mu.Unlock()
	return &UpstreamProcess{Process: p, Upstream: upstream}, nil
}

// Upstreams returns every upstream started so far.
func (b *Bed) Upstreams() []fleet.Upstream {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]fleet.Upstream(nil), b.upstreams...)
}
