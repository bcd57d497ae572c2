package testbed

import (
	"net/http"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/settings"
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

	mu        sync.Mutex
	processes []*Process
	upstreams []fleet.Upstream
	seeds     []string
	histories []string
	platform  *Process
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
