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

	// free is asked for addresses; nil means freeAddress.
	free func() (string, error)

	mu        sync.Mutex
	processes []*Process
	upstreams []fleet.Upstream
	seeds     []string
	histories []string
	platform  *Process
}

// start starts what planned says. It asks for another plan when an address was
// taken by somebody else before the process could listen.
func (b *Bed) start(planned func() (*plan, error)) (*Process, error) {
	var last error
	for range startAttempts {
		plan, err := planned()
		if err != nil {
			return nil, err
		}
		plan.program = filepath.Join(b.Bin, plan.program)
		p, err := startProcess(b.Dir, plan)
		if !errors.Is(err, errAddressTaken) {
			b.keep(p)
			return p, err
		}
		last = err
	}
	return nil, last
}

// keep notes a process that Close is to end; it may be nil.
func (b *Bed) keep(p *Process) {
	if p == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.processes = append(b.processes, p)
}

// standin plans a start of the stand-ins' program, which listens at a free address.
func (b *Bed) standin(name string, args ...string) (*plan, error) {
	address, err := b.address()
	if err != nil {
		return nil, err
	}
	return &plan{
		name: name, program: "mangoledge-standin", address: address,
		args: append(slices.Clone(args), "--listen", address), ready: standin.ListeningPrefix,
	}, nil
}

// address returns an address that nobody listens on now.
func (b *Bed) address() (string, error) {
	if b.free != nil {
		return b.free()
	}
	return freeAddress()
}

// StartPlatform starts the platform's stand-in.
func (b *Bed) StartPlatform() (*Process, error) {
	p, err := b.start(func() (*plan, error) { return b.standin("platform", "platform") })
	b.platform = p
	return p, err
}

// PlatformURL is the base URL of the platform's stand-in.
func (b *Bed) PlatformURL() string {
	return "http://" + b.platform.Address
}

// History returns what the stand-ins wrote down so far.
func (b *Bed) History() ([]history.Entry, error) {
	b.mu.Lock()
	paths := append([]string(nil), b.histories...)
	b.mu.Unlock()
	return history.Read(paths...)
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
