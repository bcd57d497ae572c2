package faulttest

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/standin/engine"
	"mangoledge.example/mangoledge/internal/standin/service"
)

// upstream is one stand-in of an engine or a plain service, with its link.
type upstream struct {
	name    string
	domain  string
	host    ident.Host
	address string
	role    role
	process *process
	link    *link
	// faultMu is held while a scheduled fault of the process lasts.
	faultMu sync.Mutex
}

// restartSeedStep is added to an engine's seed when it is restarted. It is larger than the
// number of engines, whose first seeds are consecutive, so that no two seeds are equal.
const restartSeedStep = 1000

// startRole starts a process of this test program that runs a role.
func (s *site) startRole(name string, r role) *process {
	s.t.Helper()
	text, err := json.Marshal(r)
	require.NoError(s.t, err)
	return startProcess(s.t, s.dir, name, os.Args[0], []string{roleVariable + "=" + string(text)})
}

// startUpstream starts a stand-in on a host of its own.
func (s *site) startUpstream(kind roleKind, i int) *upstream {
	u := s.newUpstream(kind, i)
	u.host = s.newHost(u.name, u.domain)
	s.startUpstreamProcess(u)
	return u
}

// startEngine starts an engine without a host; the cloud assigns it one by its address.
func (s *site) startEngine(i int, ignoreFencing bool) *upstream {
	u := s.newUpstream(roleEngine, i)
	u.role.Engine.IgnoreFencing = ignoreFencing
	s.startUpstreamProcess(u)
	return u
}

// newUpstream returns upstream i of a kind, whose process is not started yet.
func (s *site) newUpstream(kind roleKind, i int) *upstream {
	name := fmt.Sprintf("%s%d", kind, i)
	path := filepath.Join(s.dir, name+".history")
	address := s.freeAddress()
	return &upstream{name: name, domain: domainName(i), address: address, role: role{
		Kind:   kind,
		Listen: address,
		Engine: engine.Options{
			ID: name, Slots: 32, TokenInterval: tokenInterval, IgnoreFencing: true,
			PoisonMarker: s.options.poison, Seed: s.options.seed + uint64(i), HistoryPath: path,
		},
		Service: service.Options{ID: name, Delay: cmp.Or(s.options.serviceDelay, serviceDelay), ReplyBytes: s.options.replyBytes, HistoryPath: path},
	}}
}

// startUpstreamProcess starts the process and the link of an upstream.
func (s *site) startUpstreamProcess(u *upstream) {
	u.process = s.startRole(u.name, u.role)
	u.link = newLink(s.t, u.name, u.address, false)
	u.link.fault.Upstream = u.name
	s.waitListening("http://" + u.address + "/")
}

// domainName returns the name of the failure domain of node or upstream i.
func domainName(i int) string {
	return fmt.Sprintf("d%d", i%domainCount)
}

// upstreamsOf returns the upstreams of a failure domain as the configuration lists them.
func (s *site) upstreamsOf(domain string) []fleet.Upstream {
	out := []fleet.Upstream{}
	add := func(u *upstream, models []ident.Model, plain ident.Service) {
		if u.domain != domain {
			return
		}
		out = append(out, fleet.Upstream{
			ID: ident.Upstream(u.name), URL: "http://" + u.link.address, Host: u.host,
			FailureDomain: ident.FailureDomain(domain), HostClass: hostClass, Region: "default", Models: models, Service: plain,
			Slots: 32, PricePerHour: 1, Reclaimable: true, State: fleet.StateReady,
		})
	}
	for _, u := range s.engines {
		add(u, []ident.Model{model}, "")
	}
	for _, u := range s.services {
		add(u, nil, plainService)
	}
	return out
}

// injectStandinFaults sends faults to a stand-in, bypassing its link. Errors are ignored.
func (s *site) injectStandinFaults(u *upstream, faults any) {
	data, err := json.Marshal(faults)
	require.NoError(s.t, err)
	resp, err := longTimeoutClient.Post("http://"+u.address+"/faults", "application/json", bytes.NewReader(data))
	if err == nil {
		_ = resp.Body.Close()
	}
}
