package testbed

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"mangoledge.example/mangoledge/internal/auth"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/settings"
	"mangoledge.example/mangoledge/internal/standin/certificate"
	"mangoledge.example/mangoledge/internal/standin/history"
	"mangoledge.example/mangoledge/internal/tlsconf"
)

const (
	// peerToken is the secret that the nodes of a bed share.
	peerToken = "testbed-peer-token"
	// OperatorToken is the token of the bed's operator.
	OperatorToken = "testbed-operator-token"
	// callTimeout bounds a call to a stand-in.
	callTimeout = 5 * time.Second
	// stopTimeout is how long a process may take to end by itself.
	stopTimeout = 5 * time.Second
)

// CallerToken is the token of callers of workspace.
func CallerToken(workspace ident.Workspace) string {
	return "testbed-caller-" + string(workspace)
}

// Bed is a set of processes on loopback.
type Bed struct {
	// Bin is the folder of the programs.
	Bin string
	// Dir is the folder of logs, settings and histories.
	Dir string
	// Workspaces may show CallerToken.
	Workspaces []ident.Workspace
	// PeerTLS is nil for nodes that talk over plain TCP.
	PeerTLS *settings.PeerTLS

	mu        sync.Mutex
	processes []*Process
	upstreams []fleet.Upstream
	seeds     []string
	histories []string
	platform  *Process
}

// Node is one mangoledged process.
type Node struct {
	*Process
	Settings settings.Settings
}

// Engine is one stand-in engine process.
type Engine struct {
	*Process
	Upstream fleet.Upstream
}

// start starts a program of the bed.
func (b *Bed) start(name, program, address string, environment []string, args ...string) (*Process, error) {
	p, err := startProcess(b.Dir, name, filepath.Join(b.Bin, program), address, environment, args)
	if p != nil {
		b.mu.Lock()
		b.processes = append(b.processes, p)
		b.mu.Unlock()
	}
	return p, err
}

// StartPlatform starts the platform's stand-in.
func (b *Bed) StartPlatform() (*Process, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	p, err := b.start("platform", "mangoledge-standin", address, nil, "platform", "--listen", address)
	b.platform = p
	return p, err
}

// PlatformURL is the base URL of the platform's stand-in.
func (b *Bed) PlatformURL() string {
	return "http://" + b.platform.Address
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
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	upstream.URL = "http://" + address
	upstream.Host, err = b.startHost(string(upstream.ID), upstream.FailureDomain)
	if err != nil {
		return nil, err
	}
	upstream.HostClass = hostClass
	upstream.Region = "default"
	upstream.State = fleet.StateReady
	historyPath := filepath.Join(b.Dir, string(upstream.ID)+".history")
	args = append(args, "--listen", address, "--id", string(upstream.ID), "--history", historyPath)
	p, err := b.start(string(upstream.ID), "mangoledge-standin", address, nil, args...)
	if err != nil {
		return nil, err
	}
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

// History returns what the stand-ins wrote down so far.
func (b *Bed) History() ([]history.Entry, error) {
	b.mu.Lock()
	paths := append([]string(nil), b.histories...)
	b.mu.Unlock()
	return history.Read(paths...)
}

// EncryptPeers has the nodes that are started from now on talk over TLS.
func (b *Bed) EncryptPeers() error {
	files := &settings.PeerTLS{
		CertFile: filepath.Join(b.Dir, "peer-cert.pem"),
		KeyFile:  filepath.Join(b.Dir, "peer-key.pem"),
		CAFile:   filepath.Join(b.Dir, "peer-cert.pem"),
	}
	b.PeerTLS = files
	return certificate.Write(files.CertFile, files.KeyFile, 1, tlsconf.PeerName)
}

// StartNode starts a node in domain; change may alter its settings before, and
// environment holds further variables as "NAME=value".
func (b *Bed) StartNode(name ident.Node, domain ident.FailureDomain, change func(*settings.Settings), environment ...string) (*Node, error) {
	s, err := b.nodeSettings(name, domain)
	if err != nil {
		return nil, err
	}
	if change != nil {
		change(s)
	}
	path := filepath.Join(b.Dir, string(name)+".json")
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return nil, err
	}
	p, err := b.start(string(name), "mangoledged", s.CallerListen, environment, "--settings", path)
	if err != nil {
		return nil, err
	}
	b.mu.Lock()
	b.seeds = append(b.seeds, s.PeerListen)
	b.mu.Unlock()
	return &Node{Process: p, Settings: *s}, nil
}

// nodeSettings makes the settings of a node.
func (b *Bed) nodeSettings(name ident.Node, domain ident.FailureDomain) (*settings.Settings, error) {
	host, err := b.startHost(string(name), domain)
	if err != nil {
		return nil, err
	}
	s := &settings.Settings{
		Node:          name,
		Region:        "default",
		FailureDomain: domain,
		Host:          host,
		PeerToken:     peerToken,
		PeerTLS:       b.PeerTLS,
		Seeds:         append([]string(nil), b.seeds...),
		Log:           settings.Log{Level: "debug", Format: "text"},
	}
	if b.platform != nil {
		s.Platform = settings.Platform{ObjectsURL: b.PlatformURL(), CloudURL: b.PlatformURL(), HostListURL: b.PlatformURL(), WeightsURL: b.PlatformURL()}
	}
	for _, address := range []*string{&s.CallerListen, &s.OperatorListen, &s.PeerListen} {
		free, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*address = free
	}
	s.CallerURL = "http://" + s.CallerListen
	s.PeerAdvertise = s.PeerListen
	s.Tokens = append(s.Tokens, settings.Token{Name: "operator", Role: settings.RoleOperator, SHA256: auth.Digest(OperatorToken)})
	for _, workspace := range b.Workspaces {
		s.Tokens = append(s.Tokens, settings.Token{
			Name: string(workspace), Role: settings.RoleCaller, Workspace: workspace, SHA256: auth.Digest(CallerToken(workspace)),
		})
	}
	return s, nil
}

// Fault sends a fault command to a stand-in.
func (b *Bed) Fault(p *Process, faults any) error {
	return b.call(http.MethodPost, "http://"+p.Address+"/faults", faults, nil)
}

// Close ends every process that the bed started.
func (b *Bed) Close() {
	b.mu.Lock()
	processes := b.processes
	b.processes = nil
	b.mu.Unlock()
	for _, p := range processes {
		_ = p.Continue()
		_ = p.Signal(syscall.SIGKILL)
	}
	for _, p := range processes {
		select {
		case <-p.done:
		case <-time.After(stopTimeout):
		}
	}
}
