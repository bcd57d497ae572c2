package lease

import (
	"bufio"
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/objects"
	"mangoledge.example/mangoledge/internal/standin/platform"
)

const (
	holderEnv  = "LEASE_TEST_HOLDER"
	storeEnv   = "LEASE_TEST_STORE"
	processTTL = 3 * time.Second
	// testTimeout bounds each wait for output of a holder process.
	testTimeout = time.Minute
)

// TestMain runs a lease holder instead of the tests if holderEnv is set.
func TestMain(m *testing.M) {
	if holder := os.Getenv(holderEnv); holder != "" {
		runHolder(ident.Incarnation(holder), os.Getenv(storeEnv))
		return
	}
	os.Exit(m.Run())
}

// runHolder competes for the lease and prints the result of each check until it is killed.
func runHolder(holder ident.Incarnation, url string) {
	store := objects.NewClient(objects.Options{BaseURL: url, Budget: objects.NewBudget(1e6, 1000)})
	l := New(Options{Store: store, Name: "duty", Holder: holder, TTL: processTTL})
	ctx, cancel := context.WithTimeout(context.Background(), 2*testTimeout)
	defer cancel()
	go l.Run(ctx)
	for ctx.Err() == nil {
		fence, err := l.Check()
		if err != nil {
			fmt.Println("idle")
		} else {
			fmt.Println("order", fence)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// holderProcess is a lease holder that runs as a separate process.
type holderProcess struct {
	command *exec.Cmd
	lines   chan string
}

func startHolderProcess(t *testing.T, holder, url string) *holderProcess {
	t.Helper()
	command := exec.CommandContext(t.Context(), os.Args[0]) //nolint:gosec // runs this test binary
	command.Env = append(os.Environ(), holderEnv+"="+holder, storeEnv+"="+url)
	output, err := command.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, command.Start())
	p := &holderProcess{command: command, lines: make(chan string, 10000)}
	go func() {
		scanner := bufio.NewScanner(output)
		for scanner.Scan() {
			p.lines <- scanner.Text()
		}
		close(p.lines)
	}()
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	return p
}

// waitForLine reads output lines until one equals want.
func (p *holderProcess) waitForLine(t *testing.T, want string) {
	t.Helper()
	timeout := time.After(testTimeout)
	for {
		select {
		case line := <-p.lines:
			if line == want {
				return
			}
		case <-timeout:
			t.Fatalf("line %q was not printed in time", want)
		}
	}
}

func TestStoppedProcessLosesLeaseAndSendsNoOrderWhenContinued(t *testing.T) {
	server := httptest.NewServer(platform.NewServer(platform.Options{Seed: 1}))
	defer server.Close()
	defer server.CloseClientConnections()
	a := startHolderProcess(t, "a_1", server.URL)
	a.waitForLine(t, "order 1")
	b := startHolderProcess(t, "b_1", server.URL)
	b.waitForLine(t, "idle")
	require.NoError(t, a.command.Process.Signal(syscall.SIGSTOP))
	b.waitForLine(t, "order 2")
	for len(a.lines) > 0 {
		<-a.lines
	}
	require.NoError(t, a.command.Process.Signal(syscall.SIGCONT))
	// One order may have been stopped between its check and its sending; upstreams refuse it
	// by its fencing number.
	late := 0
	for range 50 {
		select {
		case line := <-a.lines:
			if strings.HasPrefix(line, "order") {
				late++
			}
		case <-time.After(testTimeout):
			t.Fatal("the continued process prints nothing")
		}
	}
	require.LessOrEqual(t, late, 1, "the continued process kept sending orders")
	b.waitForLine(t, "order 2")
}
