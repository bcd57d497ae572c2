package faulttest

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

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
}

func (s *site) startRole(name string, r role) *process {
	s.t.Helper()
	text, err := json.Marshal(r)
	require.NoError(s.t, err)
	return startProcess(s.t, s.dir, name, os.Args[0], []string{roleVariable + "=" + string(text)})
}

func (s *site) startUpstream(kind roleKind, i int) *upstream {
	name := fmt.Sprintf("%s%d", kind, i)
	path := filepath.Join(s.dir, name+".history")
	address := freeAddress(s.t)
	r := role{
		Kind:    kind,
		Listen:  address,
		Engine:  engine.Options{ID: name, Slots: 32, TokenInterval: tokenInterval, IgnoreFencing: true, PoisonMarker: s.options.poison, Seed: s.options.seed + uint64(i), HistoryPath: path},
		Service: service.Options{ID: name, Delay: cmp.Or(s.options.serviceDelay, serviceDelay), HistoryPath: path},
	}
	u := &upstream{name: name, domain: domainName(i), host: s.newHost(name, domainName(i)), address: address, role: r}
	u.process = s.startRole(name, r)
	u.link = newLink(s.t, name, address, false)
	u.link.fault.Upstream = name
	s.waitListening("http://" + address + "/")
	return u
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
	resp, err := shortClient.Post("http://"+u.address+"/faults", "application/json", bytes.NewReader(data))
	if err == nil {
		_ = resp.Body.Close()
	}
}
