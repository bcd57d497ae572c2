// Package testbed starts the daemon and the stand-ins as processes on loopback for the
// demo and the fault tests. It ends only processes that it started.
package testbed

import (
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// startTimeout is how long a process may take until it listens.
	startTimeout = 10 * time.Second
	// startPollInterval is the time between two checks whether a process listens.
	startPollInterval = 10 * time.Millisecond
	// startAttempts is how often a start is attempted, each time at other addresses.
	startAttempts = 5
)

// errAddressInUse is returned when a process ended because one of its addresses was in use.
var errAddressInUse = errors.New("the address is in use")

// processSpec describes a process to start.
type processSpec struct {
	name string
	// program is the path of the binary.
	program string
	// address is the IP and port that callers use.
	address string
	args    []string
	// environment holds additional variables as "NAME=value".
	environment []string
	// readyText is in the process's output once all its listeners are open.
	readyText string
}

// Process is one process that a Bed started.
type Process struct {
	// Name identifies the process in messages and names its log file.
	Name string
	// Address is the IP and port that it listens on for callers.
	Address string
	// LogPath is the file that its output is written to.
	LogPath string

	cmd *exec.Cmd
	// done is closed when the process has ended.
	done chan struct{}

	mu  sync.Mutex
	err error
}

// startProcess starts the process that spec describes and waits until it listens. Its
// output is appended to <dir>/<name>.log. The error is errAddressInUse if one of its
// addresses was in use. The process is nil if it could not be started.
func startProcess(dir string, spec *processSpec) (*Process, error) {
	logPath := filepath.Join(dir, spec.name+".log")
	file, err := os.OpenFile(logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	logOffset, err := file.Seek(0, io.SeekEnd)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(spec.program, spec.args...) //nolint:noctx // the process is ended by a signal, not by a context
	cmd.Stdout = file
	cmd.Stderr = file
	cmd.Env = append(os.Environ(), spec.environment...)
	// In its own process group, the process does not get the terminal's Ctrl-C; the parent ends it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrap(err, spec.name)
	}
	p := &Process{Name: spec.name, Address: spec.address, LogPath: logPath, cmd: cmd, done: make(chan struct{})}
	go p.waitForExit()
	return p, p.waitReady(logOffset, spec.readyText)
}

// waitForExit waits until the process has ended and records that.
func (p *Process) waitForExit() {
	err := p.cmd.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(p.done)
}

// waitReady waits until the log contains readyText after its first logOffset bytes. A
// connection to the address would prove less, because another process may use it.
func (p *Process) waitReady(logOffset int64, readyText string) error {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		output, err := p.outputFrom(logOffset)
		if err != nil {
			return err
		}
		if strings.Contains(output, readyText) {
			return nil
		}
		select {
		case <-p.done:
			return p.startFailure(logOffset)
		case <-time.After(startPollInterval):
		}
	}
	return errors.Newf("%s did not start to listen on %s in time", p.Name, p.Address)
}

// startFailure returns an error with the last line that the process wrote before it
// ended; it is errAddressInUse if that line says so.
func (p *Process) startFailure(logOffset int64) error {
	output, err := p.outputFrom(logOffset)
	if err != nil {
		return err
	}
	output = strings.TrimSpace(output)
	last := output[strings.LastIndex(output, "\n")+1:]
	failure := errors.Newf("%s ended during its start: %s (log in %s)", p.Name, last, p.LogPath)
	if strings.Contains(last, syscall.EADDRINUSE.Error()) {
		return errors.Mark(failure, errAddressInUse)
	}
	return failure
}

// outputFrom returns the log after its first logOffset bytes.
func (p *Process) outputFrom(logOffset int64) (string, error) {
	log, err := os.ReadFile(p.LogPath)
	if err != nil {
		return "", err
	}
	return string(log[min(logOffset, int64(len(log))):]), nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal os.Signal) error {
	return p.cmd.Process.Signal(signal)
}

// Kill kills the process and waits until it has ended.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Pause suspends the process until Continue is called.
func (p *Process) Pause() error {
	return p.Signal(syscall.SIGSTOP)
}

// Continue resumes a paused process.
func (p *Process) Continue() error {
	return p.Signal(syscall.SIGCONT)
}

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} {
	return p.done
}

// Running reports whether the process is still running.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// findFreeAddress returns a loopback address that no process listens on with TCP or UDP.
func findFreeAddress() (string, error) {
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

// PID returns the process ID.
func (p *Process) PID() int {
	return p.cmd.Process.Pid
}
