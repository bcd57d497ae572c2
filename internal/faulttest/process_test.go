package faulttest

import (
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// endTimeout bounds how long a process may take to end by itself.
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

// startProcess starts a program whose output goes to a file in dir.
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

// kill ends the process without a word.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

func (p *process) signal(s syscall.Signal) {
	_ = p.cmd.Process.Signal(s)
}

func (p *process) pid() int {
	return p.cmd.Process.Pid
}

// ended waits for the end of the process and reports whether it came in time.
func (p *process) ended(timeout time.Duration) bool {
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
