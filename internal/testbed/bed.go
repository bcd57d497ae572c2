package testbed

import (
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/settings"
	"mangoledge.example/mangoledge/internal/standin"
	"mangoledge.example/mangoledge/internal/standin/history"
)

const (
	// peerToken is the secret that the nodes of a Bed share.
	peerToken = "testbed-peer-token"
	// OperatorToken is the token of the operator.
	OperatorToken = "testbed-operator-token"
	// callTimeout is how long a call to a stand-in may take.
	callTimeout = 5 * time.Second
	// stopTimeout is how long Close waits for a killed process to end.
	stopTimeout = 5 * time.Second
)

// CallerToken returns the token of callers of workspace.
func CallerToken(workspace ident.Workspace) string {
	return "testbed-caller-" + string(workspace)
}

// Bed is a set of processes on loopback: nodes, upstreams and the platform's stand-in.
type Bed struct {
	// Bin is the directory of the programs.
	Bin string
	// Dir is the directory of logs, settings and histories.
	Dir string
	// Workspaces are the workspaces whose callers the nodes accept, with CallerToken.
	Workspaces []ident.Workspace
	// PeerTLS holds the TLS files for connections between nodes; nil for plain TCP.
	PeerTLS *settings.PeerTLS

	// allocateAddress returns a free address; nil means findFreeAddress. Tests replace it.
	allocateAddress func() (string, error)

	mu        sync.Mutex
	processes []*Process
	upstreams []fleet.Upstream
	// seeds are the peer addresses of the nodes started so far.
	seeds []string
	// histories are the paths of the history files of the stand-ins.
	histories []string
	// platform is nil until StartPlatform.
	platform *Process
}

// start starts the process that newSpec describes. It tries again with a new
// description if another process took an address before this one could listen.
func (b *Bed) start(newSpec func() (*processSpec, error)) (*Process, error) {
	var lastErr error
	for range startAttempts {
		spec, err := newSpec()
		if err != nil {
			return nil, err
		}
		spec.program = filepath.Join(b.Bin, spec.program)
		p, err := startProcess(b.Dir, spec)
		if !errors.Is(err, errAddressInUse) {
			b.track(p)
			return p, err
		}
		lastErr = err
	}
	return nil, lastErr
}

// track adds a process to those that Close ends; it may be nil.
func (b *Bed) track(p *Process) {
	if p == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.processes = append(b.processes, p)
}

// standinSpec describes a process of the stand-ins' program that listens on a free address.
func (b *Bed) standinSpec(name string, args ...string) (*processSpec, error) {
	address, err := b.newAddress()
	if err != nil {
		return nil, err
	}
	return &processSpec{
		name: name, program: "mangoledge-standin", address: address,
		args: append(slices.Clone(args), "--listen", address), readyText: standin.ListeningPrefix,
	}, nil
}

// newAddress returns an address that no process listens on now.
func (b *Bed) newAddress() (string, error) {
	if b.allocateAddress != nil {
		return b.allocateAddress()
	}
	return findFreeAddress()
}

// StartPlatform starts the platform's stand-in.
func (b *Bed) StartPlatform() (*Process, error) {
	p, err := b.start(func() (*processSpec, error) { return b.standinSpec("platform", "platform") })
	b.platform = p
	return p, err
}

// PlatformURL returns the base URL of the platform's stand-in, which must have been started.
func (b *Bed) PlatformURL() string {
	return "http://" + b.platform.Address
}

// History returns the entries that the upstreams have written to their histories so far.
func (b *Bed) History() ([]history.Entry, error) {
	b.mu.Lock()
	paths := append([]string(nil), b.histories...)
	b.mu.Unlock()
	return history.Read(paths...)
}

// InjectFaults sends a fault command to a stand-in; faults is the JSON body.
func (b *Bed) InjectFaults(p *Process, faults any) error {
	return b.call(http.MethodPost, "http://"+p.Address+"/faults", faults, nil)
}

// Close kills every process that the Bed started and waits up to stopTimeout for each.
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
