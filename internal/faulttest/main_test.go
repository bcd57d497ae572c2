package faulttest

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"mangoledge.example/mangoledge/internal/standin"
	"mangoledge.example/mangoledge/internal/standin/engine"
	"mangoledge.example/mangoledge/internal/standin/platform"
	"mangoledge.example/mangoledge/internal/standin/service"
)

// roleVariable names the environment variable that makes this test program run a stand-in
// or a caller instead of tests; its value is a role in JSON.
const roleVariable = "MANGOLEDGE_FAULTTEST_ROLE"

// role says what a process of this test program runs.
type role struct {
	Kind   roleKind
	Listen string
	Seed   uint64
	// Engine, Service and Caller are the options of the kind that they are named after.
	Engine  engine.Options
	Service service.Options
	Caller  callerOptions
}

// roleKind is a kind of process.
type roleKind string

// The kinds of processes.
const (
	roleEngine   roleKind = "engine"
	roleService  roleKind = "service"
	rolePlatform roleKind = "platform"
	roleCaller   roleKind = "caller"
)

func TestMain(m *testing.M) {
	if text := os.Getenv(roleVariable); text != "" {
		if err := runRole(text); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	code := m.Run()
	if dir := currentDaemonDir(); dir != "" {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}

// runRole runs the stand-in or caller that text, a role in JSON, describes until SIGTERM.
func runRole(text string) error {
	var r role
	if err := json.Unmarshal([]byte(text), &r); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	switch r.Kind {
	case rolePlatform:
		return platform.Run(ctx, r.Listen, r.Seed)
	case roleEngine:
		e, err := engine.New(r.Engine)
		if err != nil {
			return err
		}
		return standin.Serve(ctx, r.Listen, e.Handler())
	case roleService:
		s, err := service.New(r.Service)
		if err != nil {
			return err
		}
		return standin.Serve(ctx, r.Listen, s.Handler())
	case roleCaller:
		return runCaller(ctx, r.Caller)
	}
	return fmt.Errorf("unknown role: %s", r.Kind)
}

// buildTimeout is how long the build of the daemon may take.
const buildTimeout = 3 * time.Minute

var (
	daemonDirMu sync.Mutex
	// daemonDir is the directory of the built daemon, or empty. It is guarded by daemonDirMu.
	daemonDir string
)

// currentDaemonDir returns the directory of the built daemon, or "" if it was not built.
func currentDaemonDir() string {
	daemonDirMu.Lock()
	defer daemonDirMu.Unlock()
	return daemonDir
}

// buildDaemon builds the daemon at the first call and returns its path.
func buildDaemon(t *testing.T) string {
	t.Helper()
	daemonDirMu.Lock()
	defer daemonDirMu.Unlock()
	if daemonDir == "" {
		dir, err := os.MkdirTemp("", "mangoledge-faulttest-")
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), buildTimeout)
		defer cancel()
		build := exec.CommandContext(ctx, "go", "build", "-o", dir, "mangoledge.example/mangoledge/cmd/mangoledged")
		if out, err := build.CombinedOutput(); err != nil {
			t.Fatalf("%v\n%s", err, out)
		}
		daemonDir = dir
	}
	return filepath.Join(daemonDir, "mangoledged")
}
