package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/platform/platformtest"
)

// runAsDaemon is the variable that makes this test binary the daemon.
const runAsDaemon = "MANGOLEDGED_RUN"

func TestMain(m *testing.M) {
	if os.Getenv(runAsDaemon) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// patience is how long a test waits for what must come; far more than it takes.
const patience = 20 * time.Second

// daemon is one gateway as a process of its own.
type daemon struct {
	t    *testing.T
	ip   string
	file string
	// settings are what the file says at first.
	settings platformtest.NodeSettings
	command  *exec.Cmd
	output   lockedBuffer
	ended    chan error
}

// lockedBuffer is written by the process's copier while the test reads it.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

func startDaemon(t *testing.T, store *platformtest.Store, cloud *platformtest.Cloud, n int) *daemon {
	t.Helper()
	d := &daemon{t: t, ip: fmt.Sprintf("127.%d.250.%d", 10+os.Getpid()%200, n), ended: make(chan error, 1)}
	settings := platformtest.NodeSettings{
		Name: fmt.Sprintf("node-%d", n), Zone: "a", IP: d.ip, FirstStart: true, GraceS: 6,
		Store: store.Address(), Cloud: cloud.Address(),
	}
	d.settings = settings
	d.file = filepath.Join(t.TempDir(), "settings.toml")
	require.NoError(t, os.WriteFile(d.file, settings.File(), 0o600))
	d.command = exec.Command(os.Args[0], "--platform", "--settings", d.file)
	d.command.Env = append(os.Environ(), runAsDaemon+"=1")
	d.command.Stdout = &d.output
	require.NoError(t, d.command.Start())
	go func() { d.ended <- d.command.Wait() }()
	t.Cleanup(func() { _ = d.command.Process.Kill() })
	return d
}

// get returns the status of a call, or 0.
func (d *daemon) get(port int, path string) int {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, fmt.Sprintf("http://%s:%d%s", d.ip, port, path), nil)
	require.NoError(d.t, err)
	req.Host = "site.example"
	req.Header.Set("X-Mangoledge-Attempt-Id", "a")
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func (d *daemon) serves() bool { return d.get(platformtest.FrontPort, "/open/x") == http.StatusOK }

func TestProcessesServeStopByPlanAndOutliveEachOther(t *testing.T) {
	store, cloud := platformtest.NewStore(t), platformtest.NewCloud(t)
	replica := platformtest.NewReplica(t, "i-1")
	store.Put("servers", "i-1", replica.Entry("plain", nil))
	store.Put("config", "main", platformtest.DefaultConfig(1))
	one, two := startDaemon(t, store, cloud, 1), startDaemon(t, store, cloud, 2)
	for _, d := range []*daemon{one, two} {
		require.Eventually(t, d.serves, patience, 50*time.Millisecond)
	}
	require.Equal(t, http.StatusOK, one.get(17615, "/metrics"))

	require.NoError(t, one.command.Process.Signal(syscall.SIGHUP))
	require.NoError(t, os.WriteFile(one.file, []byte("= ="), 0o600))
	require.NoError(t, one.command.Process.Signal(syscall.SIGHUP))
	require.True(t, one.serves(), "settings that cannot be read change nothing")

	require.NoError(t, os.WriteFile(two.file, append(two.settings.File(), "\nanother = 1"...), 0o600))
	require.Eventually(t, func() bool { return strings.Contains(two.output.String(), "settings reloaded") },
		patience, 50*time.Millisecond, "a file that changes without a signal is read again")

	require.NoError(t, one.command.Process.Signal(syscall.SIGTERM))
	require.Eventually(t, func() bool { return one.get(platformtest.ReadyPort, "/api/readyz") == http.StatusServiceUnavailable }, patience, 10*time.Millisecond)
	require.True(t, one.serves(), "clients that do not know yet are served")
	select {
	case err := <-one.ended:
		require.NoError(t, err)
	case <-time.After(patience):
		t.Fatal("the process did not end")
	}
	require.Contains(t, one.output.String(), `"msg":"stopped"`)

	require.NoError(t, two.command.Process.Kill())
	require.Error(t, <-two.ended, "it was killed")
	three := startDaemon(t, store, cloud, 3)
	require.Eventually(t, three.serves, patience, 50*time.Millisecond)
}

func TestFaultySettingsAreNamed(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.toml")
	require.NoError(t, os.WriteFile(file, []byte(`ip = "10.0.0.1"`), 0o600))
	require.ErrorContains(t, runGateway(file, true), "node_name")
	require.ErrorContains(t, runGateway(filepath.Join(t.TempDir(), "none"), true), "none")
}
