// Package testbed starts the daemon and the stand-ins as processes on loopback
// for the demo and the fault tests, and ends exactly what it started.
package testbed

import (
	"context"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// startTimeout is how long a process may take until it listens.
	startTimeout = 10 * time.Second
	// startPoll is the time between two looks whether it does.
	startPoll = 10 * time.Millisecond
	// dialTimeout bounds one look.
	dialTimeout = 100 * time.Millisecond
)

// Process is one process that the bed started.
type Process struct {
	// Name names the process in logs.
	Name string
	// Address is the IP and port that it listens on.
	Address string
	// LogPath is the file that its output goes to.
	LogPath string

	cmd  *exec.Cmd
	done chan struct{}

	mu  sync.Mutex
	err error
}

// startProcess starts binary with args; its output goes to <dir>/<name>.log.
func startProcess(dir, name, binary, address string, environment, args []string) (*Process, error) {
	logPath := filepath.Join(dir, name+".log")
	file, err := os.OpenFile(logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	cmd := exec.Command(binary, args...) //nolint:noctx // ended by Kill, not by a context
	cmd.Stdout = file
	cmd.Stderr = file
	cmd.Env = append(os.Environ(), environment...)
	// A group of its own keeps the terminal's Ctrl-C for the parent, which ends its processes itself.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrap(err, name)
	}
	p := &Process{Name: name, Address: address, LogPath: logPath, cmd: cmd, done: make(chan struct{})}
	go p.wait()
	return p, p.waitListening()
}

func (p *Process) wait() {
	err := p.cmd.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(p.done)
}

// waitListening waits until the process accepts connections.
func (p *Process) waitListening() error {
	deadline := time.Now().Add(startTimeout)
	dialer := net.Dialer{Timeout: dialTimeout}
	for time.Now().Before(deadline) {
		conn, err := dialer.DialContext(context.Background(), "tcp", p.Address)
		if err == nil {
			return conn.Close()
		}
		select {
		case <-p.done:
			return errors.Newf("%s ended at its start; see %s", p.Name, p.LogPath)
		case <-time.After(startPoll):
		}
	}
	return errors.Newf("%s does not listen on %s", p.Name, p.Address)
}

// Signal sends a signal.
func (p *Process) Signal(signal os.Signal) error {
	return p.cmd.Process.Signal(signal)
}

// Kill ends the process at once.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Pause stops the process where it is; Continue lets it go on.
func (p *Process) Pause() error {
	return p.Signal(syscall.SIGSTOP)
}

// Continue lets a paused process go on.
func (p *Process) Continue() error {
	return p.Signal(syscall.SIGCONT)
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} {
	return p.done
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// freeAddress returns an address on loopback that nobody listens on, TCP or UDP.
func freeAddress() (string, error) {
	for {
		listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // closed at once
		if err != nil {
			return "", err
		}
		address := listener.Addr().String()
		packets, err := net.ListenPacket("udp", address) //nolint:noctx // closed at once
		_ = listener.Close()
		if err != nil {
			continue
		}
		_ = packets.Close()
		return address, nil
	}
}

// PID is the process's ID.
func (p *Process) PID() int {
	return p.cmd.Process.Pid
}
