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

// runAsDaemonEnvVar is the environment variable that makes this test binary run the daemon's main function.
const runAsDaemonEnvVar = "MANGOLEDGED_RUN"

func TestMain(m *testing.M) {
	if os.Getenv(runAsDaemonEnvVar) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// testTimeout bounds the wait for expected events, which take much less time.
const testTimeout = 20 * time.Second

// daemon is a gateway that runs as a separate process.
type daemon struct {
	t            *testing.T
	ip           string
	settingsFile string
	// settings are the initial contents of settingsFile.
	settings platformtest.NodeSettings
	command  *exec.Cmd
	output   lockedBuffer
	exited   chan error
}

// lockedBuffer is a buffer for concurrent use: os/exec writes the process's output to it while the test
// reads it.
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

// startDaemon starts node n with the given store and cloud. The test kills it at its end.
func startDaemon(t *testing.T, store *platformtest.Store, cloud *platformtest.Cloud, n int) *daemon {
	t.Helper()
	d := &daemon{t: t, ip: fmt.Sprintf("127.%d.250.%d", 10+os.Getpid()%200, n), exited: make(chan error, 1)}
	settings := platformtest.NodeSettings{
		Name: fmt.Sprintf("node-%d", n), Zone: "a", IP: d.ip, FirstStart: true, GraceS: 6,
		Store: store.Address(), Cloud: cloud.Address(),
	}
	d.settings = settings
	d.settingsFile = filepath.Join(t.TempDir(), "settings.toml")
	require.NoError(t, os.WriteFile(d.settingsFile, settings.File(), 0o600))
	d.command = exec.Command(os.Args[0], "--platform", "--settings", d.settingsFile)
	d.command.Env = append(os.Environ(), runAsDaemonEnvVar+"=1")
	d.command.Stdout = &d.output
	require.NoError(t, d.command.Start())
	go func() { d.exited <- d.command.Wait() }()
	t.Cleanup(func() { _ = d.command.Process.Kill() })
	return d
}

// get sends a GET request to a port of the gateway and returns the HTTP status, or 0 without a response.
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

// isServing reports whether the gateway serves requests of clients.
func (d *daemon) isServing() bool { return d.get(platformtest.FrontPort, "/open/x") == http.StatusOK }

func TestGatewayProcessesStopGracefullyAndSurviveEachOther(t *testing.T) {
	store, cloud := platformtest.NewStore(t), platformtest.NewCloud(t)
	replica := platformtest.NewReplica(t, "i-1")
	store.Put("servers", "i-1", replica.Entry("plain", nil))
	store.Put("config", "main", platformtest.DefaultConfig(1))
	first, second := startDaemon(t, store, cloud, 1), startDaemon(t, store, cloud, 2)
	for _, d := range []*daemon{first, second} {
		require.Eventually(t, d.isServing, testTimeout, 50*time.Millisecond)
	}
	require.Equal(t, http.StatusOK, first.get(17615, "/metrics"))

	require.NoError(t, first.command.Process.Signal(syscall.SIGHUP))
	require.NoError(t, os.WriteFile(first.settingsFile, []byte("= ="), 0o600))
	require.NoError(t, first.command.Process.Signal(syscall.SIGHUP))
	require.True(t, first.isServing(), "the gateway stopped serving after it could not read its settings")

	require.NoError(t, os.WriteFile(second.settingsFile, append(second.settings.File(), "\nanother = 1"...), 0o600))
	require.Eventually(t, func() bool { return strings.Contains(second.output.String(), "settings reloaded") },
		testTimeout, 50*time.Millisecond, "a file that changed without a signal was not read again")

	require.NoError(t, first.command.Process.Signal(syscall.SIGTERM))
	require.Eventually(t, func() bool { return first.get(platformtest.ReadyPort, "/api/readyz") == http.StatusServiceUnavailable }, testTimeout, 10*time.Millisecond)
	require.True(t, first.isServing(), "a stopping gateway must serve clients that have not noticed the stop yet")
	select {
	case err := <-first.exited:
		require.NoError(t, err)
	case <-time.After(testTimeout):
		t.Fatal("the process did not end")
	}
	require.Contains(t, first.output.String(), `"msg":"stopped"`)

	require.NoError(t, second.command.Process.Kill())
	require.Error(t, <-second.exited, "it was killed")
	third := startDaemon(t, store, cloud, 3)
	require.Eventually(t, third.isServing, testTimeout, 50*time.Millisecond)
}

func TestErrorsNameInvalidSettings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.toml")
	require.NoError(t, os.WriteFile(file, []byte(`ip = "10.0.0.1"`), 0o600))
	require.ErrorContains(t, runGateway(file, true), "node_name")
	require.ErrorContains(t, runGateway(filepath.Join(t.TempDir(), "none"), true), "none")
}
