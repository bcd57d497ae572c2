package faulttest

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// endTimeout is how long a process may take to end by itself.
const endTimeout = 20 * time.Second

// process is a child process.
type process struct {
	name string
	cmd  *exec.Cmd
	log  string
	// stdin is the process's standard input.
	stdin io.WriteCloser
	done  chan struct{}
}

// startProcess starts the program at path. Its output is appended to the file name.log in dir.
func startProcess(t *testing.T, dir, name, path string, env []string, args ...string) *process {
	t.Helper()
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	require.NoError(t, err)
	defer func() { _ = log.Close() }()
	cmd := exec.Command(path, args...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout = log
	cmd.Stderr = log
	stdin, err := cmd.StdinPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	p := &process{name: name, cmd: cmd, log: log.Name(), stdin: stdin, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(p.kill)
	return p
}

// kill sends SIGKILL to the process and waits for its end.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// signal sends a signal to the process; errors are ignored.
func (p *process) signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s)
}

// suspendTimeout is how long a process may take to be suspended.
const suspendTimeout = 30 * time.Second

// suspend suspends the process until SIGCONT and returns once it is suspended: the signal
// takes effect only when a thread of the process next runs.
func (p *process) suspend() error {
	p.signal(syscall.SIGSTOP)
	for end := time.Now().Add(suspendTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if p.isSuspended() {
			return nil
		}
	}
	return errors.Newf("process %d is not suspended in time", p.pid())
}

// isSuspended reports whether the process is in state T. In the stat file the state follows
// the process name in parentheses.
func (p *process) isSuspended() bool {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.pid()))
	if err != nil {
		return false
	}
	_, state, found := strings.Cut(string(stat), ") ")
	return found && strings.HasPrefix(state, "T")
}

func (p *process) pid() int {
	return p.cmd.Process.Pid
}

// waitEnd waits for the end of the process and reports whether it came in time.
func (p *process) waitEnd(timeout time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(timeout):
		return p.hasEnded()
	}
}

// hasEnded reports whether the process has ended by now.
func (p *process) hasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}
