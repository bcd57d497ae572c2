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

// upstream is one stand-in with its link.
type upstream struct {
	name    string
	domain  string
	host    ident.Host
	address string
	role    role
	process *process
	link    *link
	// broken is held while a fault of a schedule strikes the process.
	broken sync.Mutex
}

// seedStep is added to an engine's seed when it is started again; there are fewer engines.
const seedStep = 1000

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
	s.runUpstream(u)
	return u
}

// startEngine starts an engine without a host; the cloud gives it one by its address.
func (s *site) startEngine(i int, ignoreFencing bool) *upstream {
	u := s.newUpstream(roleEngine, i)
	u.role.Engine.IgnoreFencing = ignoreFencing
	s.runUpstream(u)
	return u
}

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
		Service: service.Options{ID: name, Delay: cmp.Or(s.options.serviceDelay, serviceDelay), HistoryPath: path},
	}}
}

// runUpstream starts the process and its link.
func (s *site) runUpstream(u *upstream) {
	u.process = s.startRole(u.name, u.role)
	u.link = newLink(s.t, u.name, u.address, false)
	u.link.fault.Upstream = u.name
	s.waitListening("http://" + u.address + "/")
}

func domainName(i int) string {
	return fmt.Sprintf("d%d", i%domains)
}

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

// order sends a fault command to a stand-in, past its link.
func (s *site) order(u *upstream, faults any) {
	data, err := json.Marshal(faults)
	require.NoError(s.t, err)
	resp, err := patientClient.Post("http://"+u.address+"/faults", "application/json", bytes.NewReader(data))
	if err == nil {
		_ = resp.Body.Close()
	}
}
