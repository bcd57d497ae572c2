// Package testbed starts the daemon and the stand-ins as processes on loopback
// for the demo and the fault tests, and ends exactly what it started.
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
	// startPoll is the time between two looks whether it does.
	startPoll = 10 * time.Millisecond
	// startAttempts is how often a process is started anew, at other addresses.
	startAttempts = 5
)

// errAddressTaken is returned when a process ended because an address of its was in use.
var errAddressTaken = errors.New("the address is taken")

// plan is a process that is to be started.
type plan struct {
	name string
	// program is the path of the binary.
	program string
	// address is the IP and port that callers use.
	address     string
	args        []string
	environment []string
	// ready stands in the process's output once all its listeners are open.
	ready string
}

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

// startProcess starts what is planned and waits until it listens; its output goes
// to <dir>/<name>.log. The error is errAddressTaken when one of its addresses was
// in use. The process is nil when it was not started.
func startProcess(dir string, plan *plan) (*Process, error) {
	logPath := filepath.Join(dir, plan.name+".log")
	file, err := os.OpenFile(logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	before, err := file.Seek(0, io.SeekEnd)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(plan.program, plan.args...) //nolint:noctx // ended by Kill, not by a context
	cmd.Stdout = file
	cmd.Stderr = file
	cmd.Env = append(os.Environ(), plan.environment...)
	// A group of its own keeps the terminal's Ctrl-C for the parent, which ends its processes itself.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrap(err, plan.name)
	}
	p := &Process{Name: plan.name, Address: plan.address, LogPath: logPath, cmd: cmd, done: make(chan struct{})}
	go p.wait()
	return p, p.waitListening(before, plan.ready)
}

func (p *Process) wait() {
	err := p.cmd.Wait()
	p.mu.Lock()
	p.err = err
	p.mu.Unlock()
	close(p.done)
}

// waitListening waits until the process has written ready behind the first
// before bytes of its log. That it accepts connections says less: somebody else
// may have taken its address.
func (p *Process) waitListening(before int64, ready string) error {
	deadline := time.Now().Add(startTimeout)
	for time.Now().Before(deadline) {
		output, err := p.output(before)
		if err != nil {
			return err
		}
		if strings.Contains(output, ready) {
			return nil
		}
		select {
		case <-p.done:
			return p.startFailure(before)
		case <-time.After(startPoll):
		}
	}
	return errors.Newf("%s does not listen on %s", p.Name, p.Address)
}

// startFailure tells why the process ended at its start, by its own last line.
func (p *Process) startFailure(before int64) error {
	output, err := p.output(before)
	if err != nil {
		return err
	}
	output = strings.TrimSpace(output)
	last := output[strings.LastIndex(output, "\n")+1:]
	failure := errors.Newf("%s ended at its start: %s (log in %s)", p.Name, last, p.LogPath)
	if strings.Contains(last, syscall.EADDRINUSE.Error()) {
		return errors.Mark(failure, errAddressTaken)
	}
	return failure
}

// output returns what stands in the log behind its first before bytes.
func (p *Process) output(before int64) (string, error) {
	log, err := os.ReadFile(p.LogPath)
	if err != nil {
		return "", err
	}
	return string(log[min(before, int64(len(log))):]), nil
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
