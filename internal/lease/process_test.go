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
	// ample is for whatever should come soon.
	ample = time.Minute
)

// TestMain runs a holder instead of the tests when the environment asks for one.
func TestMain(m *testing.M) {
	if holder := os.Getenv(holderEnv); holder != "" {
		runHolder(ident.Incarnation(holder), os.Getenv(storeEnv))
		return
	}
	os.Exit(m.Run())
}

// runHolder prints each check of its lease until it is killed.
func runHolder(holder ident.Incarnation, url string) {
	store := objects.NewClient(objects.Options{BaseURL: url, Budget: objects.NewBudget(1e6, 1000)})
	l := New(Options{Store: store, Name: "duty", Holder: holder, TTL: processTTL})
	ctx, cancel := context.WithTimeout(context.Background(), 2*ample)
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

// process is a holder in a process of its own.
type process struct {
	command *exec.Cmd
	lines   chan string
}

func startProcess(t *testing.T, holder, url string) *process {
	t.Helper()
	command := exec.CommandContext(t.Context(), os.Args[0]) //nolint:gosec // this test itself
	command.Env = append(os.Environ(), holderEnv+"="+holder, storeEnv+"="+url)
	output, err := command.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, command.Start())
	p := &process{command: command, lines: make(chan string, 10000)}
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

// wait reads lines until one is want.
func (p *process) wait(t *testing.T, want string) {
	t.Helper()
	timeout := time.After(ample)
	for {
		select {
		case line := <-p.lines:
			if line == want {
				return
			}
		case <-timeout:
			t.Fatalf("%q was never printed", want)
		}
	}
}

func TestStoppedProcessLosesItsLeaseAndGivesNoOrderWhenContinued(t *testing.T) {
	server := httptest.NewServer(platform.NewServer(platform.Options{Seed: 1}))
	defer server.Close()
	defer server.CloseClientConnections()
	a := startProcess(t, "a_1", server.URL)
	a.wait(t, "order 1")
	b := startProcess(t, "b_1", server.URL)
	b.wait(t, "idle")
	require.NoError(t, a.command.Process.Signal(syscall.SIGSTOP))
	b.wait(t, "order 2")
	for len(a.lines) > 0 {
		<-a.lines
	}
	require.NoError(t, a.command.Process.Signal(syscall.SIGCONT))
	// One order may have been between its check and its sending; fencing refuses it.
	late := 0
	for range 50 {
		select {
		case line := <-a.lines:
			if strings.HasPrefix(line, "order") {
				late++
			}
		case <-time.After(ample):
			t.Fatal("the continued process says nothing")
		}
	}
	require.LessOrEqual(t, late, 1, "the continued process went on giving orders")
	b.wait(t, "order 2")
}
